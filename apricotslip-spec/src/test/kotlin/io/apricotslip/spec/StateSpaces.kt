package io.apricotslip.spec

import io.apricotslip.spec.Model.Evict
import io.apricotslip.spec.Model.Manifest
import io.apricotslip.spec.Model.Reservations

/** The models that TLC checks, and for each rule a variant without it, in which TLC must find a violation. */
internal object StateSpaces {
    private val departing = Evict("EvictDeparting", listOf("abc", "bc"), "ab", "bc", orders = "b")
    private val restarting =
        Evict("EvictRestarting", listOf("abc"), "a", "b", starters = "b", crashes = "b", orders = "a")
    private val repeated = Evict("EvictRepeated", listOf("ab"), "a", "b", orders = "aa")
    private val lostOrder = Evict("EvictLostOrder", listOf("ab"), "a", "b", orders = "a", maxLostOrders = 1)
    private val replaced = Evict("EvictReplaced", listOf("abc", "bc"), "ab", "bc", orders = "a", starters = "b")
    private val lingering = replaced.copy(name = "EvictLingering", maxLostOrders = 1, ordersLinger = true)
    private val moving = Reservations("ReservationsMoving", listOf("abc", "abc"), "ab")
    private val returning = Reservations("ReservationsReturning", listOf("abc", "bc", "abc"), "aba", crashes = "c")
    private val manifest = Manifest("ManifestWhole")

    /** Searched completely in CI; the invariant must hold. */
    val complete: List<Model> =
        listOf(
            departing,
            repeated,
            lostOrder,
            lostOrder.copy(name = "EvictLostOrderNoFence", fenceChecked = false, fenceTrusted = false),
            replaced,
            moving,
            manifest,
        )

    /** Searched completely by the command in docs/PROOFS.md, outside CI; the invariant must hold. */
    val large: List<Model> =
        listOf(
            lingering,
            restarting,
            restarting.copy(
                name = "EvictRestartingTwoLists",
                lists = listOf("abc", "abc"),
                owners = "ab",
                standbys = "bc",
            ),
            departing.copy(
                name = "EvictReturning",
                lists = listOf("abc", "bc", "abc"),
                owners = "aba",
                standbys = "bcb",
            ),
            departing.copy(name = "EvictDepartingBoth", orders = "ab"),
            returning,
        )

    /** Models with one rule disabled; TLC must report that the invariant is violated. */
    val variants: List<Model> =
        listOf(
            departing.copy(name = "EvictConsentOff", disabledRules = "consent"),
            departing.copy(name = "EvictTenureOff", disabledRules = "tenure"),
            departing.copy(name = "EvictLeaseOff", disabledRules = "lease"),
            departing.copy(name = "EvictReportOff", disabledRules = "report"),
            departing.copy(name = "EvictStartInTwoSteps", disabledRules = "atomicStart"),
            replaced.copy(name = "EvictInTwoSteps", disabledRules = "atomicEvict"),
            restarting.copy(name = "EvictFreshOff", disabledRules = "fresh"),
            restarting.copy(name = "EvictIncarnationOff", disabledRules = "life"),
            repeated.copy(name = "EvictDoneOff", disabledRules = "done"),
            lostOrder.copy(name = "EvictFenceOff", fenceChecked = false, fenceTrusted = true),
            lingering.copy(name = "EvictShutOutOff", disabledRules = "shutOut"),
            lingering.copy(name = "EvictLingeringNoFence", fenceChecked = false, fenceTrusted = false),
            moving.copy(name = "ReservationsSkewOff", disabledRules = "beforeTenure"),
            moving.copy(name = "ReservationsTenureOff", disabledRules = "tenure"),
            moving.copy(name = "ReservationsAdoptedOff", disabledRules = "adopted"),
            moving.copy(name = "ReservationsMemoryOff", disabledRules = "memory"),
            returning.copy(name = "ReservationsQuietOff", disabledRules = "quiet"),
            returning.copy(name = "ReservationsLostOff", disabledRules = "lost"),
            returning.copy(name = "ReservationsSkipOff", disabledRules = "skip"),
            manifest.copy(name = "ManifestHigherOff", disabledRules = "higher"),
            manifest.copy(name = "ManifestAskPeersOff", disabledRules = "askPeers"),
        )

    /**
     * Models with an invariant that denies an action and must be violated. This shows that the action is reachable: an
     * owner may send an evict order, and the call of a key is sent to the service.
     */
    val reachable: List<Model> =
        listOf(
            departing.copy(name = "EvictReachable", invariant = "NothingEvicted"),
            moving.copy(name = "ReservationsReachable", invariant = "NothingRuns"),
        )
}
