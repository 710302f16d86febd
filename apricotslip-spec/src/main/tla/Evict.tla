------------------------------- MODULE Evict -------------------------------
(* Consent, evidence and fence: rules 4 to 8 of docs/DESIGN.md, for one adapter on one engine. The rules do not      *)
(* relate adapters or engines to each other, so one of each is enough. Messages stay in a set: they may be lost      *)
(* (never read), repeated and late.                                                                                  *)
EXTENDS Membership

CONSTANTS Owner, Standby, \* first and second of the ranking under each list           (OwnershipRanking)
          Starters,       \* VMs that get requests
          MaxOrders,      \* VM -> most asks
          MaxLost,        \* most evict orders in flight whose answer is lost
          FenceChecked,   \* the engine refuses old fencing numbers
          FenceTrusted,   \* owners treat it as one that does (rule 8)
          OrdersLinger    \* orders in flight outlive the tenure of the VM that gave them

VARIABLES run,        \* VMs that run a request on the adapter                       (UseCounts)
          orphan,     \* a request of a former life of a VM still runs
          checked,    \* VMs between check and send of a request, where these are two steps
          block,      \* VM -> asker -> order it consents to, 0 for none             (EvictConsents.standing)
          lastDone,   \* VM -> asker -> highest order known to be over               (EvictConsents.lastDone)
          ticket,     \* VM -> its evict                                             (EvictTicket)
          orders,     \* VM -> order numbers used, over all its lives
          seen,       \* VM -> peer -> incarnation it told last                      (ForeignUse.learn)
          passed,     \* VM -> peers whose pass for its list it holds                (Passes)
          proof,      \* VM -> 0; 1: an order was acknowledged; 2: a report after it is idle (EngineReports)
          late,       \* evict orders in flight towards the engine
          msgs,       \* messages of rule 4
          bad         \* an adapter in use was evicted
engine == <<run, orphan, checked, late, bad>>
consent == <<block, lastDone, ticket, orders, seen, passed, msgs>>
vars == <<membership, engine, consent, proof>>

NoTicket == [state |-> "none", first |-> 0, last |-> 0, got |-> {}]

(* Membership.hasRole *)
Role(x) == ten[x] # 0 /\ Listed(x) /\ x \in {Owner[ten[x]], Standby[ten[x]]}
OwnerNow(x) == Settled(x) /\ Owner[ten[x]] = x /\ Lease(x)

(* A ticket that is open when a list comes is void: EvictGuard.verdict. *)
Adopt(x, r) ==
  /\ AdoptList(x, r)
  /\ proof' = [proof EXCEPT ![x] = IF ten'[x] = ten[x] THEN @ ELSE 0]
  /\ passed' = [passed EXCEPT ![x] = {}]
  /\ IF ticket[x].state # "asking" THEN UNCHANGED <<ticket, msgs>>
     ELSE /\ ticket' = [ticket EXCEPT ![x] = NoTicket]
          /\ msgs' = msgs \cup {<<"done", x, ticket[x].last>>}
  /\ UNCHANGED <<engine, block, lastDone, orders, seen>>

Beat(x, y) == Heartbeat(x, y) /\ UNCHANGED <<engine, consent, proof>>

(* Consents to VMs that the list no longer holds end: EvictConsents.tenured. *)
TakeTenure(x) ==
  /\ TakeRoles(x)
  /\ proof' = [proof EXCEPT ![x] = 0]
  /\ block' = [block EXCEPT ![x] = [w \in VMs |-> IF w \in Members[list[x]] THEN @[w] ELSE 0]]
  /\ late' = IF OrdersLinger THEN late ELSE {o \in late : o.r >= list[x] /\ o.w # x}
  /\ UNCHANGED <<run, orphan, checked, bad, lastDone, ticket, orders, seen, passed, msgs>>

(* Consents are fresh for one lease time: EvictTicket.freshConsent. *)
Tick ==
  /\ PassTime
  /\ proof' = [x \in VMs |-> IF x \in Broken THEN 0 ELSE proof[x]]
  /\ ticket' = [x \in VMs |-> IF On("fresh") /\ ticket[x].state = "asking"
                              THEN [ticket[x] EXCEPT !.got = {}, !.first = ticket[x].last + 1] ELSE ticket[x]]
  /\ UNCHANGED <<engine, block, lastDone, orders, seen, passed, msgs>>

(* Requests of the dead process run on at the engine. *)
Crash(x) ==
  /\ Die(x)
  /\ run' = run \ {x}
  /\ orphan' = (orphan \/ x \in run)
  /\ checked' = checked \ {x}
  /\ block' = [block EXCEPT ![x] = [w \in VMs |-> 0]]
  /\ lastDone' = [lastDone EXCEPT ![x] = [w \in VMs |-> 0]]
  /\ ticket' = [ticket EXCEPT ![x] = NoTicket]
  /\ seen' = [seen EXCEPT ![x] = [y \in VMs |-> 0]]
  /\ passed' = [passed EXCEPT ![x] = {}]
  /\ proof' = [proof EXCEPT ![x] = 0]
  /\ UNCHANGED <<late, bad, orders, msgs>>

(* EvictGuard.mayStart; where OrdersLinger, only after an own order was acknowledged: EvictGuard.olderOrdersShutOut. *)
MayStart(x) ==
  /\ x \in Starters /\ Role(x) /\ Lease(x) /\ x \notin run /\ \A w \in VMs : block[x][w] = 0
  /\ ticket[x].state \in {"none", "asking"}
  /\ (OrdersLinger /\ On("shutOut")) => proof[x] > 0
Check(x) ==
  /\ ~On("atomicStart") /\ MayStart(x) /\ x \notin checked
  /\ checked' = checked \cup {x}
  /\ UNCHANGED <<membership, run, orphan, late, bad, consent, proof>>
Start(x) ==
  /\ IF On("atomicStart") THEN MayStart(x) ELSE x \in checked
  /\ run' = run \cup {x}
  /\ checked' = checked \ {x}
  /\ UNCHANGED <<membership, orphan, late, bad, consent, proof>>
End(x) ==
  /\ x \in run
  /\ run' = run \ {x}
  /\ UNCHANGED <<membership, orphan, checked, late, bad, consent, proof>>
OrphanEnds ==
  /\ orphan
  /\ orphan' = FALSE
  /\ UNCHANGED <<membership, run, checked, late, bad, consent, proof>>

(* Rule 4: EvictGuard.passesDue and EvictGuard.passed *)
Pass(x) ==
  /\ ten[x] # 0 /\ Listed(x) /\ ~Role(x) /\ x \notin run \cup checked
  /\ LET m == <<"pass", x, ten[x], life[x]>>
     IN m \notin msgs /\ msgs' = msgs \cup {m}
  /\ UNCHANGED <<membership, engine, block, lastDone, ticket, orders, seen, passed, proof>>
Learn(w, x, l) ==
  /\ seen' = [seen EXCEPT ![w][x] = l]
  /\ proof' = IF On("life") /\ seen[w][x] # l THEN [proof EXCEPT ![w] = 0] ELSE proof
TakePass(w, x) ==
  /\ OwnerNow(w) /\ x \notin passed[w]
  /\ \E l \in 0..life[x] : <<"pass", x, list[w], l>> \in msgs /\ Learn(w, x, l)
  /\ passed' = [passed EXCEPT ![w] = @ \cup {x}]
  /\ UNCHANGED <<membership, engine, block, lastDone, ticket, orders, msgs>>

(* Rule 4: EvictGuard.ask and EvictGuard.retryAsks; each ask has a new number. *)
Ask(w) ==
  /\ OwnerNow(w) /\ ticket[w].state \in {"none", "asking"} /\ orders[w] < MaxOrders[w]
  /\ LET n == orders[w] + 1
         again == ticket[w].state = "asking" /\ ticket[w].first <= ticket[w].last
     IN /\ orders' = [orders EXCEPT ![w] = n]
        /\ ticket' = [ticket EXCEPT ![w] = [state |-> "asking", first |-> IF again THEN @.first ELSE n, last |-> n,
                                            got |-> @.got]]
        /\ msgs' = msgs \cup {<<"ask", w, n, list[w]>>}
  /\ UNCHANGED <<membership, engine, block, lastDone, seen, passed, proof>>
(* EvictGuard.asked *)
Answer(x, w, n) ==
  /\ list[x] # 0 /\ <<"ask", w, n, list[x]>> \in msgs /\ x \in Members[list[x]] /\ x # w
  /\ x \notin run \cup (IF On("atomicStart") THEN checked ELSE {})
  /\ On("done") => n > lastDone[x][w]
  /\ block[x][w] # n
  /\ block' = [block EXCEPT ![x][w] = IF On("done") THEN Max(@, n) ELSE n]
  /\ msgs' = msgs \cup {<<"consent", x, w, n, life[x]>>}
  /\ UNCHANGED <<membership, engine, lastDone, ticket, orders, seen, passed, proof>>
(* EvictGuard.answered *)
TakeConsent(w, x, n) ==
  /\ ticket[w].state = "asking" /\ n >= ticket[w].first /\ n <= ticket[w].last /\ x \notin ticket[w].got
  /\ \E l \in 0..life[x] : <<"consent", x, w, n, l>> \in msgs /\ Learn(w, x, l)
  /\ ticket' = [ticket EXCEPT ![w].got = @ \cup {x}]
  /\ UNCHANGED <<membership, engine, block, lastDone, orders, passed, msgs>>
(* EvictGuard.done, and EvictConsents.done at x *)
Close(w) ==
  /\ ticket[w].state = "asking"
  /\ ticket' = [ticket EXCEPT ![w] = NoTicket]
  /\ msgs' = msgs \cup {<<"done", w, ticket[w].last>>}
  /\ UNCHANGED <<membership, engine, block, lastDone, orders, seen, passed, proof>>
TakeDone(x, w, n) ==
  /\ <<"done", w, n>> \in msgs /\ x # w /\ (n > lastDone[x][w] \/ ~On("done"))
  /\ lastDone' = [lastDone EXCEPT ![x][w] = Max(@, n)]
  /\ block' = [block EXCEPT ![x][w] = IF On("done") /\ @ > n THEN @ ELSE 0]
  /\ <<lastDone, block>>' # <<lastDone, block>>
  /\ UNCHANGED <<membership, engine, ticket, orders, seen, passed, msgs, proof>>

(* Rule 5: an order, and reports after it: EngineReports. An acknowledged order shuts out those in flight: rule 7. *)
ShutOut(r) == {o \in late : ~(FenceChecked /\ o.r <= r)}
Order(x) ==
  /\ Role(x) /\ Lease(x) /\ proof[x] = 0 /\ (OrdersLinger \/ Owner[ten[x]] = x)
  /\ proof' = [proof EXCEPT ![x] = 1]
  /\ late' = ShutOut(ten[x])
  /\ UNCHANGED <<membership, run, orphan, checked, bad, consent>>
Report(w) ==
  /\ proof[w] = 1 /\ Owner[ten[w]] = w /\ run \subseteq {w} /\ ~orphan
  /\ proof' = [proof EXCEPT ![w] = 2]
  /\ UNCHANGED <<membership, engine, consent>>

(* EvictGuard.verdict *)
Ready(w) ==
  /\ ticket[w].state = "asking" /\ OwnerNow(w) /\ w \notin run
  /\ On("consent") => Members[list[w]] \ {w} \subseteq ticket[w].got \cup passed[w]
  /\ On("report") => proof[w] = 2
Evict == bad' = (bad \/ run # {} \/ orphan)
EvictAcknowledged(w) ==
  /\ IF On("atomicEvict") THEN Ready(w) ELSE ticket[w].state = "ready"
  /\ Evict
  /\ late' = ShutOut(ten[w])
  /\ ticket' = [ticket EXCEPT ![w] = NoTicket]
  /\ msgs' = msgs \cup {<<"done", w, ticket[w].last>>}
  /\ UNCHANGED <<membership, run, orphan, checked, block, lastDone, orders, seen, passed, proof>>
EvictChecked(w) ==
  /\ ~On("atomicEvict") /\ Ready(w)
  /\ ticket' = [ticket EXCEPT ![w].state = "ready"]
  /\ UNCHANGED <<membership, engine, block, lastDone, orders, seen, passed, msgs, proof>>
(* Rule 8: the answer is lost and the order is still on its way: EvictGuard.unanswered. *)
EvictLost(w) ==
  /\ On("atomicEvict") /\ Ready(w) /\ Cardinality(late) < MaxLost
  /\ late' = late \cup {[w |-> w, r |-> ten[w]]}
  /\ ticket' = [ticket EXCEPT ![w].state = "lost"]
  /\ UNCHANGED <<membership, run, orphan, checked, bad, block, lastDone, orders, seen, passed, msgs, proof>>
Arrive(o) ==
  /\ Evict
  /\ late' = late \ {o}
  /\ UNCHANGED <<membership, run, orphan, checked, consent, proof>>
(* EvictGuard.orderAcknowledged on an engine that checks the fence *)
LaterOrder(w) ==
  /\ ticket[w].state = "lost" /\ FenceTrusted /\ Role(w) /\ Lease(w)
  /\ late' = ShutOut(ten[w])
  /\ ticket' = [ticket EXCEPT ![w] = NoTicket]
  /\ msgs' = msgs \cup {<<"done", w, ticket[w].last>>}
  /\ UNCHANGED <<membership, run, orphan, checked, bad, block, lastDone, orders, seen, passed, proof>>
(* EvictGuard.engineRestarted: requests and orders of the old engine process are gone. *)
EngineRestart ==
  /\ \E w \in VMs : ticket[w].state = "lost"
  /\ run' = {} /\ orphan' = FALSE /\ late' = {}
  /\ proof' = [x \in VMs |-> 0]
  /\ ticket' = [w \in VMs |-> IF ticket[w].state = "lost" THEN NoTicket ELSE ticket[w]]
  /\ msgs' = msgs \cup {<<"done", w, ticket[w].last>> : w \in {v \in VMs : ticket[v].state = "lost"}}
  /\ UNCHANGED <<membership, checked, bad, block, lastDone, orders, seen, passed>>

(* The owner of the first list holds the passes of the others, and evidence. *)
Init ==
  /\ InitMembership
  /\ run = {} /\ orphan = FALSE /\ checked = {} /\ late = {} /\ bad = FALSE
  /\ block = [x \in VMs |-> [w \in VMs |-> 0]]
  /\ lastDone = block
  /\ ticket = [x \in VMs |-> NoTicket]
  /\ orders = [x \in VMs |-> 0]
  /\ seen = block
  /\ passed = [x \in VMs |-> IF x = Owner[1] THEN Members[1] \ {x, Standby[1]} ELSE {}]
  /\ proof = [x \in VMs |-> IF x = Owner[1] THEN 2 ELSE 0]
  /\ msgs = {<<"pass", x, 1, 0>> : x \in Members[1] \ {Owner[1], Standby[1]}}

Next ==
  \/ Tick \/ OrphanEnds \/ EngineRestart
  \/ \E o \in late : Arrive(o)
  \/ \E x \in VMs :
       \/ TakeTenure(x) \/ Crash(x) \/ Check(x) \/ Start(x) \/ End(x) \/ Pass(x) \/ Ask(x) \/ Close(x) \/ Order(x)
       \/ Report(x) \/ EvictAcknowledged(x) \/ EvictChecked(x) \/ EvictLost(x) \/ LaterOrder(x)
       \/ \E r \in Revs : Adopt(x, r)
       \/ \E y \in VMs : Beat(x, y) \/ TakePass(x, y)
       \/ \E y \in VMs : \E n \in 1..MaxOrders[y] : Answer(x, y, n) \/ TakeConsent(y, x, n) \/ TakeDone(x, y, n)

Spec == Init /\ [][Next]_vars

NoEvictUnderUse == ~bad
(* Asserted to be violated: the rules let owners evict. *)
NothingEvicted == \A w \in VMs : ~Ready(w)
=============================================================================
