------------------------------ MODULE Manifest ------------------------------
(* Adoption of manifests: "Manifest" in docs/DESIGN.md. The platform publishes revisions 1..Top in order, some of    *)
(* them invalid, and may answer with any that it has ever published (it lags, or is stale). Peers pass theirs on. A  *)
(* process may die and start with nothing; fewer than a majority die together.  *)
EXTENDS Integers, FiniteSets

CONSTANTS VMs, Top, Valid, MaxCrashes, Off

VARIABLES published, \* newest revision at the platform
          rev,       \* VM -> revision in force, 0 for none                     (ManifestShelf.revision)
          told,      \* VM -> peers that told what they have, since its start   (Membership.peerManifest)
          ready,     \* VMs that serve
          floor,     \* VM -> highest revision that a majority had in force when it died last
          crashes,
          offers,    \* offers in flight: late, repeated, out of order          (SafetyMessage.ManifestOffer)
          bad        \* a VM went back while it served
vars == <<published, rev, told, ready, floor, crashes, offers, bad>>

On(rule) == rule \notin Off
Majority(S) == 2 * Cardinality(S) > Cardinality(VMs)

Highest(f) == CHOOSE r \in 0..Top :
  /\ r = 0 \/ Majority({x \in VMs : f[x] >= r})
  /\ \A q \in r + 1..Top : ~Majority({x \in VMs : f[x] >= q})

(* ManifestShelf.offer: judged by the text alone; only a higher revision is taken. *)
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
(* A heartbeat of y carries its revision, and its text when it is higher. *)
Tell(y, x) ==
  /\ x # y /\ y \notin told[x]
  /\ told' = [told EXCEPT ![x] = @ \cup {y}]
  /\ IF rev[y] > rev[x] THEN Force(x, rev[y]) ELSE UNCHANGED <<rev, bad>>
  /\ UNCHANGED <<published, ready, floor, crashes, offers>>
(* A fresh VM serves when it has a manifest and a majority of the other VMs told what they have in force. *)
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

(* No VM goes back while it serves, and a restarted one does not serve below what a majority of the VMs
   had in force when it died. *)
NeverReverts == ~bad
OnlyValid == \A x \in VMs : rev[x] = 0 \/ rev[x] \in Valid
=============================================================================
