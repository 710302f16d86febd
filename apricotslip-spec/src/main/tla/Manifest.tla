------------------------------ MODULE Manifest ------------------------------
(* Adoption of manifests: "Manifest" in docs/DESIGN.md. The platform publishes revisions 1..Top in order, some of    *)
(* them invalid, and may answer with any revision that it has ever published, because it may lag or be stale. Peers  *)
(* forward their manifests to each other. A process may crash and restart without any state; fewer than a majority   *)
(* crash together.                                                                                                   *)
EXTENDS Integers, FiniteSets

CONSTANTS VMs, Top, Valid, MaxCrashes, Off

VARIABLES published, \* newest revision published by the platform
          rev,       \* VM -> revision in force, 0 for none                     (ManifestStore.revision)
          told,      \* VM -> peers that reported their revision since its start (Membership.peerManifestRevision)
          ready,     \* VMs that serve requests
          floor,     \* VM -> highest revision that a majority had in force at its last crash
          crashes,
          offers,    \* offers in flight: may be late, repeated or out of order (SafetyMessage.ManifestOffer)
          bad        \* a VM reverted to a lower revision than NeverReverts allows
vars == <<published, rev, told, ready, floor, crashes, offers, bad>>

On(rule) == rule \notin Off
Majority(S) == 2 * Cardinality(S) > Cardinality(VMs)

Highest(f) == CHOOSE r \in 0..Top :
  /\ r = 0 \/ Majority({x \in VMs : f[x] >= r})
  /\ \A q \in r + 1..Top : ~Majority({x \in VMs : f[x] >= q})

(* ManifestStore.offer: validity depends on the text alone; only a higher revision is adopted. *)
Takes(x, r) == r \in Valid /\ (On("higher") => r > rev[x]) /\ r # rev[x]
Force(x, r) ==
  /\ rev' = [rev EXCEPT ![x] = r]
  /\ bad' = (bad \/ (x \in ready /\ r < rev[x]))

Publish ==
  /\ published < Top
  /\ published' = published + 1
  /\ UNCHANGED <<rev, told, ready, floor, crashes, offers, bad>>
Read(x, r) ==
  /\ r \in 1..published /\ Takes(x, r) /\ Force(x, r)
  /\ UNCHANGED <<published, told, ready, floor, crashes, offers>>
Offer(x) ==
  /\ rev[x] # 0 /\ rev[x] \notin offers
  /\ offers' = offers \cup {rev[x]}
  /\ UNCHANGED <<published, rev, told, ready, floor, crashes, bad>>
TakeOffer(x, r) ==
  /\ r \in offers /\ Takes(x, r) /\ Force(x, r)
  /\ UNCHANGED <<published, told, ready, floor, crashes, offers>>
(* A heartbeat from y carries its revision; if that is higher, x also gets the text of the manifest. *)
Tell(y, x) ==
  /\ x # y /\ y \notin told[x]
  /\ told' = [told EXCEPT ![x] = @ \cup {y}]
  /\ IF rev[y] > rev[x] THEN Force(x, rev[y]) ELSE UNCHANGED <<rev, bad>>
  /\ UNCHANGED <<published, ready, floor, crashes, offers>>
(* A started VM serves once it has a manifest and a majority of the other VMs have reported their revisions in force. *)
GetReady(x) ==
  /\ x \notin ready /\ rev[x] # 0
  /\ On("askPeers") => 2 * Cardinality(told[x]) > Cardinality(VMs \ {x})
  /\ ready' = ready \cup {x}
  /\ bad' = (bad \/ rev[x] < floor[x])
  /\ UNCHANGED <<published, rev, told, floor, crashes, offers>>
Crash(x) ==
  /\ crashes < MaxCrashes
  /\ crashes' = crashes + 1
  /\ rev' = [rev EXCEPT ![x] = 0]
  /\ told' = [told EXCEPT ![x] = {}]
  /\ ready' = ready \ {x}
  /\ floor' = [floor EXCEPT ![x] = Highest([rev EXCEPT ![x] = 0])]
  /\ UNCHANGED <<published, offers, bad>>

Init ==
  /\ published = 0 /\ rev = [x \in VMs |-> 0] /\ told = [x \in VMs |-> {}] /\ ready = {} /\ floor = rev
  /\ crashes = 0 /\ offers = {} /\ bad = FALSE
Next ==
  \/ Publish
  \/ \E x \in VMs :
       \/ Offer(x) \/ GetReady(x) \/ Crash(x)
       \/ \E r \in 1..Top : Read(x, r) \/ TakeOffer(x, r)
       \/ \E y \in VMs : Tell(y, x)
Spec == Init /\ [][Next]_vars

(* No VM reverts to a lower revision while it serves, and a restarted VM does not serve a lower revision than the one
   that a majority of the VMs had in force when it crashed. *)
NeverReverts == ~bad
OnlyValid == \A x \in VMs : rev[x] = 0 \/ rev[x] \in Valid
=============================================================================
