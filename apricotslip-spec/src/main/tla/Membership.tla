----------------------------- MODULE Membership -----------------------------
(* VM lists, lease and tenure: rules 1 to 3 of docs/DESIGN.md, extended by Evict.tla and Reservations.tla. Time is   *)
(* counted in lease times: Tick advances it by one for every VM, and the steps between two ticks happen in any       *)
(* order. A paused or partitioned VM is one that takes no step. A heartbeat and its answer are one step, which is    *)
(* the best case for the lease; a lost heartbeat is a step not taken. The lag of the platform is unbounded: any list *)
(* may be adopted at any time. Lists hold at most three VMs, so that one answer makes a majority. Names in           *)
(* parentheses are Kotlin classes and members.                                                                       *)
EXTENDS Integers, FiniteSets

CONSTANTS VMs,
          Members,    \* VMs of the lists 1..n
          MaxCrashes, \* VM -> maximum number of crashes of its process
          Off         \* names of the disabled rules; {} is the full protocol

ASSUME \A r \in DOMAIN Members : Cardinality(Members[r]) <= 3

VARIABLES list,       \* VM -> adopted revision, 0 for none                             (Membership.list)
          heard,      \* VM -> highest revision that it has heard of                    (Membership.highestRevision)
          ten,        \* VM -> tenured revision, 0 for none                             (Tenure.current)
          held,       \* VMs that a majority has answered in this lease time            (Membership.leaseEndsAt)
          was,        \* VMs that held the lease at any moment of this lease time       (Membership.leaseLastHeldAt)
          up,         \* VM -> peers that answered with its revision or a higher one   (PeerAnswers, Tenure.allAnswered)
          wait,       \* VM -> lease times until tenure, -1 while answers are missing   (Tenure.allAnsweredAt)
          quiet,      \* VM -> lease times in which it still answers no heartbeat      (Membership.quietAfterStartNanos)
          life        \* VM -> incarnation of its process
membership == <<list, heard, ten, held, was, up, wait, quiet, life>>

On(rule) == rule \notin Off
Revs == DOMAIN Members
Max(a, b) == IF a > b THEN a ELSE b

Listed(x) == list[x] # 0 /\ x \in Members[list[x]]
Newest(x) == On("heard") => heard[x] = list[x]
Settled(x) == Listed(x) /\ ten[x] = list[x] /\ Newest(x)
(* Rule 2: Membership.leaseHeld. *)
Lease(x) == ~On("lease") \/ x \in held

(* Rules 1 and 3: Membership.adopt and Tenure.listAdopted. Answers to earlier heartbeats no longer count. *)
Follows(x, r) ==
  list[x] # 0 /\ x \in Members[list[x]] /\ x \in Members[r] /\ (On("skip") => r = list[x] + 1)
AdoptList(x, r) ==
  LET t == IF ~On("tenure") THEN r ELSE IF Follows(x, r) THEN ten[x] ELSE 0
      alone == Members[r] = {x}
  IN /\ r > list[x]
     /\ list' = [list EXCEPT ![x] = r]
     /\ heard' = [heard EXCEPT ![x] = Max(@, r)]
     /\ ten' = [ten EXCEPT ![x] = t]
     /\ held' = IF alone THEN held \cup {x} ELSE held \ {x}
     /\ was' = IF alone THEN was \cup {x} ELSE was
     /\ up' = [up EXCEPT ![x] = {}]
     /\ wait' = [wait EXCEPT ![x] = IF alone /\ t # r THEN 1 ELSE -1]
     /\ UNCHANGED <<quiet, life>>

(* Rules 1 and 2: x sends a heartbeat; y answers with its revision if x is on its list and its quiet time has ended. *)
Heartbeat(x, y) ==
  /\ x # y /\ Listed(x) /\ y \in Members[list[x]] /\ list[y] # 0 /\ x \in Members[list[y]] /\ quiet[y] = 0
  /\ LET newest == On("heard") => Max(heard[x], list[y]) = list[x]
         u == IF ten[x] = list[x] \/ ~newest THEN {} ELSE IF list[y] >= list[x] THEN up[x] \cup {y} ELSE up[x] \ {y}
         complete == newest /\ ten[x] # list[x] /\ Members[list[x]] = u \cup {x}
     IN /\ heard' = [heard EXCEPT ![x] = Max(@, list[y])]
        /\ up' = [up EXCEPT ![x] = u]
        /\ wait' = [wait EXCEPT ![x] = IF ~complete THEN -1 ELSE IF @ >= 0 THEN @ ELSE 1]
        /\ held' = IF ~newest THEN held \ {x} ELSE IF list[y] = list[x] THEN held \cup {x} ELSE held
        /\ was' = was \cup held'
  /\ <<up, held, heard, wait>>' # <<up, held, heard, wait>>
  /\ UNCHANGED <<list, ten, quiet, life>>

(* Rule 3: tenure under the adopted list begins and its roles take effect: Tenure.update. *)
TakeRoles(x) ==
  /\ wait[x] = 0
  /\ ten' = [ten EXCEPT ![x] = list[x]]
  /\ wait' = [wait EXCEPT ![x] = -1]
  /\ up' = [up EXCEPT ![x] = {}]
  /\ UNCHANGED <<list, heard, held, was, quiet, life>>

(* One lease time passes. Tenure breaks at a VM that did not hold the lease at any moment of it: Membership.update. *)
Broken == IF On("lost") /\ On("tenure") THEN VMs \ was ELSE {}
PassTime ==
  LET Alone(x) == Listed(x) /\ Members[list[x]] = {x}
  IN /\ held' = {x \in VMs : Alone(x)}
     /\ was' = {x \in VMs : Alone(x)}
     /\ ten' = [x \in VMs |-> IF x \in Broken THEN 0 ELSE ten[x]]
     /\ up' = [x \in VMs |-> IF x \in Broken THEN {} ELSE up[x]]
     /\ wait' = [x \in VMs |-> IF x \in Broken THEN -1 ELSE IF wait[x] > 0 THEN wait[x] - 1 ELSE wait[x]]
     /\ quiet' = [x \in VMs |-> Max(0, quiet[x] - 1)]
     /\ UNCHANGED <<list, heard, life>>

(* The process crashes and restarts without any state. *)
Die(x) ==
  /\ life[x] < MaxCrashes[x]
  /\ life' = [life EXCEPT ![x] = @ + 1]
  /\ list' = [list EXCEPT ![x] = 0]
  /\ heard' = [heard EXCEPT ![x] = 0]
  /\ ten' = [ten EXCEPT ![x] = 0]
  /\ held' = held \ {x}
  /\ was' = was \ {x}
  /\ up' = [up EXCEPT ![x] = {}]
  /\ wait' = [wait EXCEPT ![x] = -1]
  /\ quiet' = [quiet EXCEPT ![x] = IF On("quiet") THEN 2 ELSE 0]

(* All VMs of the first list have run under it for a while: they are tenured and hold the lease. *)
InitMembership ==
  /\ list = [x \in VMs |-> IF x \in Members[1] THEN 1 ELSE 0]
  /\ heard = list /\ ten = list
  /\ held = Members[1] /\ was = Members[1]
  /\ up = [x \in VMs |-> {}]
  /\ wait = [x \in VMs |-> -1]
  /\ quiet = [x \in VMs |-> 0]
  /\ life = [x \in VMs |-> 0]
=============================================================================
