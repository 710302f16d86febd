---------------------------- MODULE Reservations ----------------------------
(* Calls that must not be executed more than once: rule 10 of docs/DESIGN.md, for one key. Callers may repeat the    *)
(* key at any VM at any time. A call that has been sent always reaches the service, so the model counts calls when   *)
(* they are sent.                                                                                                    *)
EXTENDS Membership

CONSTANTS Home    \* home VM of the key under each list                         (OwnershipRanking.home)

VARIABLES minted, \* the key has been created
          home,   \* VMs that are the home under their tenured list and each list adopted since (Membership.homeSince)
          before, \* VMs that have been in home without a break since before the key was minted
          memory, \* VMs that have a record of the key                          (Reservations.calls)
          runs    \* number of calls sent to the service
vars == <<membership, minted, home, before, memory, runs>>

Homes(h) == /\ home' = h
            /\ before' = before \cap h

Adopt(x, r) ==
  /\ AdoptList(x, r)
  /\ Homes(IF ten'[x] = 0 \/ (On("adopted") /\ Home[r] # x) THEN home \ {x}
           ELSE IF ten'[x] = r /\ Home[r] = x THEN home \cup {x} ELSE home)
  /\ UNCHANGED <<minted, memory, runs>>
Beat(x, y) == Heartbeat(x, y) /\ UNCHANGED <<minted, home, before, memory, runs>>
TakeTenure(x) ==
  /\ TakeRoles(x)
  /\ Homes(IF Home[list[x]] = x THEN home \cup {x} ELSE home \ {x})
  /\ UNCHANGED <<minted, memory, runs>>
Tick ==
  /\ PassTime
  /\ Homes(home \ Broken)
  /\ UNCHANGED <<minted, memory, runs>>
Crash(x) ==
  /\ Die(x)
  /\ Homes(home \ {x})
  /\ memory' = memory \ {x}
  /\ UNCHANGED <<minted, runs>>

Mint ==
  /\ ~minted
  /\ minted' = TRUE
  /\ before' = home
  /\ UNCHANGED <<membership, home, memory, runs>>
(* Reservations.begin; the check and the call happen in the same event loop turn. *)
Run(x) ==
  /\ minted /\ x \in home /\ Lease(x) /\ x \notin memory
  /\ On("beforeTenure") => x \in before
  /\ runs' = runs + 1
  /\ memory' = IF On("memory") THEN memory \cup {x} ELSE memory
  /\ UNCHANGED <<membership, minted, home, before>>

Init ==
  /\ InitMembership
  /\ minted = FALSE
  /\ home = {Home[1]}
  /\ before = {} /\ memory = {} /\ runs = 0
Next ==
  \/ Tick \/ Mint
  \/ \E x \in VMs :
       \/ TakeTenure(x) \/ Crash(x) \/ Run(x)
       \/ \E r \in Revs : Adopt(x, r)
       \/ \E y \in VMs : Beat(x, y)
Spec == Init /\ [][Next]_vars

AtMostOnce == runs <= 1
(* Must be violated: shows that calls are sent at all. *)
NothingRuns == runs = 0
=============================================================================
