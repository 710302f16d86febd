package io.apricotslip.spec

import io.apricotslip.spec.Model.Evict
import io.apricotslip.spec.Model.Manifest
import io.apricotslip.spec.Model.Reservations

/** The bounds that are searched, and one variant for each rule that TLC must find wanting. */
internal object StateSpaces {
    private val departing = Evict("EvictDeparting", listOf("abc", "bc"), "ab", "bc", orders = "b")
    private val restarting =
        Evict("EvictRestarting", listOf("abc"), "a", "b", starters = "b", crashes = "b", orders = "a")
    private val repeated = Evict("EvictRepeated", listOf("ab"), "a", "b", orders = "aa")
    private val lostOrder = Evict("EvictLostOrder", listOf("ab"), "a", "b", orders = "a", lost = 1)
    private val replaced = Evict("EvictReplaced", listOf("abc", "bc"), "ab", "bc", orders = "a", starters = "b")
    private val lingering = replaced.copy(name = "EvictLingering", lost = 1, ordersLinger = true)
    private val moving = Reservations("ReservationsMoving", listOf("abc", "abc"), "ab")
    private val returning = Reservations("ReservationsReturning", listOf("abc", "bc", "abc"), "aba", crashes = "c")
    private val manifest = Manifest("ManifestWhole")

    /** Searched whole in CI. */
    val complete: List<Model> =
        listOf(
            departing,
            repeated,
            lostOrder,
            lostOrder.copy(name = "EvictLostOrderNoFence", fenceChecked = false, fenceTrusted = false),
            replaced,
            lingering,
            moving,
            manifest,
        )

    /** Searched whole by a documented command. */
    val large: List<Model> =
        listOf(
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

    /** A rule is switched off, and TLC must report the violation. */
    val variants: List<Model> =
        listOf(
            departing.copy(name = "EvictConsentOff", off = "consent"),
            departing.copy(name = "EvictTenureOff", off = "tenure"),
            departing.copy(name = "EvictLeaseOff", off = "lease"),
            departing.copy(name = "EvictReportOff", off = "report"),
            departing.copy(name = "EvictStartInTwoSteps", off = "atomicStart"),
            replaced.copy(name = "EvictInTwoSteps", off = "atomicEvict"),
            restarting.copy(name = "EvictFreshOff", off = "fresh"),
            restarting.copy(name = "EvictIncarnationOff", off = "life"),
            repeated.copy(name = "EvictDoneOff", off = "done"),
            lostOrder.copy(name = "EvictFenceOff", fenceChecked = false, fenceTrusted = true),
            lingering.copy(name = "EvictShutOutOff", off = "shutOut"),
            lingering.copy(name = "EvictLingeringNoFence", fenceChecked = false, fenceTrusted = false),
            moving.copy(name = "ReservationsSkewOff", off = "beforeTenure"),
            moving.copy(name = "ReservationsTenureOff", off = "tenure"),
            moving.copy(name = "ReservationsAdoptedOff", off = "adopted"),
            moving.copy(name = "ReservationsMemoryOff", off = "memory"),
            returning.copy(name = "ReservationsQuietOff", off = "quiet"),
            returning.copy(name = "ReservationsLostOff", off = "lost"),
            returning.copy(name = "ReservationsSkipOff", off = "skip"),
            manifest.copy(name = "ManifestHigherOff", off = "higher"),
            manifest.copy(name = "ManifestAskPeersOff", off = "askPeers"),
        )

    /** The models do something: an evict is ready to go, and a key runs. */
    val reachable: List<Model> =
        listOf(
            departing.copy(name = "EvictReachable", invariant = "NothingEvicted"),
            moving.copy(name = "ReservationsReachable", invariant = "NothingRuns"),
        )
}
