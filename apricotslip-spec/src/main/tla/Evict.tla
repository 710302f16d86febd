------------------------------- MODULE Evict -------------------------------
(* Consent, evidence and fence: rules 4 to 8 of docs/DESIGN.md, for one adapter on one engine. One of each is        *)
(* enough, because no rule relates adapters or engines to each other. Sent messages stay in a set, which models loss *)
(* (a message is never read), duplication and delay.                                                                 *)
EXTENDS Membership

CONSTANTS Owner, Standby, \* first and second VM in the ranking under each list        (OwnershipRanking)
          Starters,       \* VMs that may start requests
          MaxOrders,      \* VM -> maximum number of consent requests
          MaxLost,        \* maximum number of evict orders in flight whose answer is lost
          FenceChecked,   \* the engine rejects orders with old fencing tokens
          FenceTrusted,   \* owners assume that it does (rule 8)
          OrdersLinger    \* orders in flight outlive the tenure of the VM that sent them

VARIABLES run,        \* VMs with a running request on the adapter                   (UseCounts)
          orphan,     \* a request of an earlier incarnation of a VM is still running
          checked,    \* VMs between checking and sending a request, where these are two steps
          block,      \* VM -> requester -> number it consents to, 0 for none        (EvictConsents.granted)
          lastDone,   \* VM -> requester -> highest number known to be closed        (EvictConsents.lastClosedRequests)
          ticket,     \* VM -> state of its eviction                                 (EvictTicket)
          orders,     \* VM -> last consent request number used, over all its incarnations
          seen,       \* VM -> peer -> last incarnation that it reported             (ForeignUse.recordIncarnation)
          passed,     \* VM -> peers whose pass for its list it has received         (Passes)
          proof,      \* VM -> 0; 1: an order was acknowledged; 2: a later report shows no foreign use (EngineReports)
          late,       \* evict orders in flight to the engine
          msgs,       \* messages of rule 4
          bad         \* the adapter was evicted while in use
engine == <<run, orphan, checked, late, bad>>
consent == <<block, lastDone, ticket, orders, seen, passed, msgs>>
vars == <<membership, engine, consent, proof>>

NoTicket == [state |-> "none", first |-> 0, last |-> 0, got |-> {}]

(* Membership.inRanking *)
Role(x) == ten[x] # 0 /\ Listed(x) /\ x \in {Owner[ten[x]], Standby[ten[x]]}
OwnerNow(x) == Settled(x) /\ Owner[ten[x]] = x /\ Lease(x)

(* Adopting a list invalidates an open ticket: EvictGuard.verdict. *)
Adopt(x, r) ==
  /\ AdoptList(x, r)
  /\ proof' = [proof EXCEPT ![x] = IF ten'[x] = ten[x] THEN @ ELSE 0]
  /\ passed' = [passed EXCEPT ![x] = {}]
  /\ IF ticket[x].state # "asking" THEN UNCHANGED <<ticket, msgs>>
     ELSE /\ ticket' = [ticket EXCEPT ![x] = NoTicket]
          /\ msgs' = msgs \cup {<<"done", x, ticket[x].last>>}
  /\ UNCHANGED <<engine, block, lastDone, orders, seen>>

Beat(x, y) == Heartbeat(x, y) /\ UNCHANGED <<engine, consent, proof>>

(* Consents granted to VMs that are no longer on the list end: EvictConsents.releaseDeparted. *)
TakeTenure(x) ==
  /\ TakeRoles(x)
  /\ proof' = [proof EXCEPT ![x] = 0]
  /\ block' = [block EXCEPT ![x] = [w \in VMs |-> IF w \in Members[list[x]] THEN @[w] ELSE 0]]
  /\ late' = IF OrdersLinger THEN late ELSE {o \in late : o.r >= list[x] /\ o.w # x}
  /\ UNCHANGED <<run, orphan, checked, bad, lastDone, ticket, orders, seen, passed, msgs>>

(* Consents stay valid for one lease time: EvictTicket.hasFreshConsent. *)
Tick ==
  /\ PassTime
  /\ proof' = [x \in VMs |-> IF x \in Broken THEN 0 ELSE proof[x]]
  /\ ticket' = [x \in VMs |-> IF On("fresh") /\ ticket[x].state = "asking"
                              THEN [ticket[x] EXCEPT !.got = {}, !.first = ticket[x].last + 1] ELSE ticket[x]]
  /\ UNCHANGED <<engine, block, lastDone, orders, seen, passed, msgs>>

(* Requests of the crashed process keep running at the engine. *)
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

(* EvictGuard.mayStart; with OrdersLinger only after an order of x was acknowledged: EvictGuard.olderOrdersFenced. *)
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

(* Rule 4: EvictGuard.passesDue and EvictGuard.onPass. *)
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

(* Rule 4: EvictGuard.requestEvictConsent and retryConsentRequests; each consent request has a new number. *)
Ask(w) ==
  /\ OwnerNow(w) /\ ticket[w].state \in {"none", "asking"} /\ orders[w] < MaxOrders[w]
  /\ LET n == orders[w] + 1
         again == ticket[w].state = "asking" /\ ticket[w].first <= ticket[w].last
     IN /\ orders' = [orders EXCEPT ![w] = n]
        /\ ticket' = [ticket EXCEPT ![w] = [state |-> "asking", first |-> IF again THEN @.first ELSE n, last |-> n,
                                            got |-> @.got]]
        /\ msgs' = msgs \cup {<<"ask", w, n, list[w]>>}
  /\ UNCHANGED <<membership, engine, block, lastDone, seen, passed, proof>>
(* EvictGuard.onEvictAsk *)
Answer(x, w, n) ==
  /\ list[x] # 0 /\ <<"ask", w, n, list[x]>> \in msgs /\ x \in Members[list[x]] /\ x # w
  /\ x \notin run \cup (IF On("atomicStart") THEN checked ELSE {})
  /\ On("done") => n > lastDone[x][w]
  /\ block[x][w] # n
  /\ block' = [block EXCEPT ![x][w] = IF On("done") THEN Max(@, n) ELSE n]
  /\ msgs' = msgs \cup {<<"consent", x, w, n, life[x]>>}
  /\ UNCHANGED <<membership, engine, lastDone, ticket, orders, seen, passed, proof>>
(* EvictGuard.onEvictAnswer *)
TakeConsent(w, x, n) ==
  /\ ticket[w].state = "asking" /\ n >= ticket[w].first /\ n <= ticket[w].last /\ x \notin ticket[w].got
  /\ \E l \in 0..life[x] : <<"consent", x, w, n, l>> \in msgs /\ Learn(w, x, l)
  /\ ticket' = [ticket EXCEPT ![w].got = @ \cup {x}]
  /\ UNCHANGED <<membership, engine, block, lastDone, orders, passed, msgs>>
(* EvictGuard.closeTicket at w, and EvictConsents.release at x. *)
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

(* Rule 5: an order and later reports: EngineReports. Rule 7: an acknowledged order fences off those in flight. *)
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

(* The owner may send the evict order: EvictGuard.verdict. *)
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
(* Rule 8: the answer is lost and the order is still in flight: EvictGuard.markUnanswered. *)
EvictLost(w) ==
  /\ On("atomicEvict") /\ Ready(w) /\ Cardinality(late) < MaxLost
  /\ late' = late \cup {[w |-> w, r |-> ten[w]]}
  /\ ticket' = [ticket EXCEPT ![w].state = "lost"]
  /\ UNCHANGED <<membership, run, orphan, checked, bad, block, lastDone, orders, seen, passed, msgs, proof>>
Arrive(o) ==
  /\ Evict
  /\ late' = late \ {o}
  /\ UNCHANGED <<membership, run, orphan, checked, consent, proof>>
(* EvictGuard.orderAcknowledged, for an engine that checks fencing tokens. *)
LaterOrder(w) ==
  /\ ticket[w].state = "lost" /\ FenceTrusted /\ Role(w) /\ Lease(w)
  /\ late' = ShutOut(ten[w])
  /\ ticket' = [ticket EXCEPT ![w] = NoTicket]
  /\ msgs' = msgs \cup {<<"done", w, ticket[w].last>>}
  /\ UNCHANGED <<membership, run, orphan, checked, bad, block, lastDone, orders, seen, passed, proof>>
(* EvictGuard.engineRestarted: the requests and orders of the old engine process are lost. *)
EngineRestart ==
  /\ \E w \in VMs : ticket[w].state = "lost"
  /\ run' = {} /\ orphan' = FALSE /\ late' = {}
  /\ proof' = [x \in VMs |-> 0]
  /\ ticket' = [w \in VMs |-> IF ticket[w].state = "lost" THEN NoTicket ELSE ticket[w]]
  /\ msgs' = msgs \cup {<<"done", w, ticket[w].last>> : w \in {v \in VMs : ticket[v].state = "lost"}}
  /\ UNCHANGED <<membership, checked, bad, block, lastDone, orders, seen, passed>>

(* The owner under the first list has evidence, and the passes of the VMs outside the ranking. *)
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
(* Must be violated: shows that the rules let an owner evict at all. *)
NothingEvicted == \A w \in VMs : ~Ready(w)
=============================================================================
