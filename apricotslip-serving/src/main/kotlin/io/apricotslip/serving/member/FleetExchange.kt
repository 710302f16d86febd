package io.apricotslip.serving.member

import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.api.peer.FleetMessage.Report
import io.apricotslip.api.peer.FleetMessage.ServerUse
import io.apricotslip.api.peer.StreamMessage

/**
 * Exchanges state between the nodes of a fleet: each node reports to its hub, hubs report the sums of their nodes to
 * each other, and each hub sends a digest of the fleet back to its nodes.
 *
 * It does no I/O: [tick] and [receive] return the messages to send, and [links] names the nodes to connect to. This
 * node started at time 0.
 *
 * @param seeds nodes through which this node discovers the others.
 */
public class FleetExchange(
    private val self: VmId,
    private val zone: ZoneId,
    private val weight: Int,
    seeds: Collection<VmId>,
    private val state: FleetExchangeState,
) {
    /** Messages to send: the same [message] to each node of [to]. */
    public class Outgoing(public val to: Collection<VmId>, public val message: FleetMessage)

    /** Nodes to connect to: the other [hubs], which connect to each other, and [single] ones that do not. */
    public class Links(public val hubs: Set<VmId>, public val single: Set<VmId>)

    private val seeds = seeds.filterTo(LinkedHashSet()) { it != self }
    private val directory = HubDirectory(self, zone, weight)
    private val messages = FleetMessages(zone, weight, state)
    private val probe = HubProbe(this.seeds, directory)
    private val peers = HashMap<VmId, HeardReport>()
    private val redirectedAt = HashMap<VmId, Long>()
    private var isHub = true
    private var home: VmId? = null
    private var homeHeardAt = 0L
    private var lastSentUses = emptyList<ServerUse>()
    private var digestNodes = 0
    private var lastHubsSentAt = NEVER
    private var ticks = 0
    private var heardAnyone = false
    private var lastAddressedAt = NEVER
    private val majority = MajorityTracker()

    /** Whether this node is a hub, and so one of those that may hold claims. */
    public val hub: Boolean
        get() = isHub

    /** Hubs that were heard directly at [now] or shortly before, and this node. */
    public fun liveHubs(now: Long): List<VmId> =
        peers.entries.filter { it.value.report.hub && now - it.value.heardAt < LIVENESS_TIMEOUT_MILLIS }
            .map { it.key } + self

    /** Those of [liveHubs] that reach backend servers, so that they can give orders. */
    public fun orderingHubs(now: Long): List<VmId> =
        liveHubs(now).filter { if (it == self) !state.isCutOff() else peers[it]?.report?.cutOff != true }

    /** Number of nodes of the fleet as far as known, this node included; at least 1. */
    public fun size(now: Long): Int {
        if (!isHub) return maxOf(digestNodes, 1)
        return 1 + peers.values.filter { now - it.heardAt < SIZE_WINDOW_MILLIS }.sumOf { it.report.nodes }
    }

    /**
     * Whether this node may claim servers at [now]: it is an established hub that is not the one cut off from the
     * others, nor was it until a moment ago.
     */
    public fun mayClaim(now: Long): Boolean = hearsMostHubs(now) && majority.isStable(now)

    /** Whether this node does not hear the hub [vm] at [now] but others do: only the link between the two is broken. */
    public fun isHeardByOthersOnly(vm: VmId, now: Long): Boolean = vm !in liveHubs(now) && directory.isLiveHub(vm, now)

    /** Whether this node is an established hub that hears at least half of the hubs. */
    private fun hearsMostHubs(now: Long): Boolean {
        val since = directory.hubSince() ?: return false
        if (!isHub || now - since < SETTLE_MILLIS) return false
        if (!heardAnyone && seeds.isNotEmpty()) return now > ALONE_CLAIM_MILLIS
        return liveHubs(now).size * 2 >= directory.rememberedHubs(now).size + 1
    }

    /**
     * Whether all hubs are live and all their nodes started within [FRESH_START_MILLIS], so that no running node can
     * have given orders to servers before.
     */
    public fun allFreshlyStarted(now: Long): Boolean {
        if (now >= FRESH_START_MILLIS || peers.isEmpty()) return false
        val hubs = directory.otherHubs(now)
        return hubs.all { hub -> peers[hub]?.let { now - it.heardAt < LIVENESS_TIMEOUT_MILLIS } ?: false } &&
            peers.values.all { it.report.maxUptimeMillis < FRESH_START_MILLIS }
    }

    /** Records that this process was paused, so that other nodes may have replaced it meanwhile. */
    public fun onPaused(now: Long) {
        directory.onPaused(now)
        homeHeardAt = now
    }

    /** The nodes to which this node needs a connection at [now]. */
    public fun links(now: Long): Links {
        if (!isHub) return Links(emptySet(), directory.keepers(now) + setOfNotNull(home))
        val hubs = directory.otherHubs(now)
        return Links(hubs, if (hubs.isEmpty()) seeds else setOfNotNull(probe.next(hubs, now, LINK_LEAD_MILLIS)))
    }

    /** Hubs that keep what this node begins, in case that it ends. */
    public fun keepers(now: Long): Set<VmId> = directory.keepers(now)

    /** The hub that asks others for this node; null if this node is a hub. */
    public fun askingHub(): VmId? = home.takeIf { !isHub }

    /** Hubs that this node can ask itself. */
    public fun askableHubs(now: Long): Set<VmId> = if (isHub) directory.otherHubs(now) else directory.keepers(now)

    /** Whether no other node is known, and none is to be expected. */
    public fun alone(): Boolean = seeds.isEmpty() && !heardAnyone

    /** Sends what is due at [now]; must be called every [INTERVAL_MILLIS]. */
    public fun tick(now: Long): List<Outgoing> {
        majority.record(hearsMostHubs(now), now)
        removeSilentPeers(now)
        val wasHub = isHub
        isHub = directory.updateRole(now) || now - lastAddressedAt < ADDRESSED_MILLIS
        val out = ArrayList<Outgoing>()
        if (wasHub && !isHub) out += withdrawAll()
        if (!wasHub && isHub) home?.let(state::removeUses).also { home = null }
        ticks++
        val sendsToNodes = ticks % NODE_INTERVAL_TICKS == 0
        val sendsHubs = sendsToNodes && now - lastHubsSentAt >= HUBS_INTERVAL_MILLIS
        val hubs = if (sendsHubs) directory.entries(now) else emptyList()
        if (sendsHubs) lastHubsSentAt = now
        if (isHub) {
            sendAsHub(now, hubs, out)
        } else if (sendsToNodes || home == null) {
            sendAsNode(now, hubs, out)
        }
        return out
    }

    /** Applies [message] of [peer]; returns the answers. */
    public fun receive(peer: VmId, message: FleetMessage, now: Long): List<Outgoing> {
        heardAnyone = true
        return when (message) {
            is Report -> receiveReport(peer, message, now)
            is FleetMessage.Digest -> receiveDigest(peer, message, now)
            is FleetMessage.Hubs -> {
                directory.recordKnown(message.hubs, now)
                emptyList()
            }
            is FleetMessage.LoadAsk, is FleetMessage.LoadAnswer, is StreamMessage -> emptyList()
        }
    }

    private fun receiveReport(peer: VmId, report: Report, now: Long): List<Outgoing> {
        directory.recordKnown(report.hubs, now)
        if (report.nodes == 0) {
            forget(peer)
            return emptyList()
        }
        directory.recordHeard(peer, report.zone, report.weight, now)
        messages.applyConditions(report, now)
        report.store?.let { state.applyStoreProgress(it, now) }
        if (!report.hub) lastAddressedAt = now
        if (!isHub) return redirect(peer, now)
        peers[peer] = HeardReport(report, now)
        state.applyUses(peer, report.uses, now)
        state.applyPaceReport(report.paces, report.hub, now)
        report.claims.forEach { state.applyClaim(peer, it, now) }
        val expected = if (report.hub) peer in directory.otherHubs(now) else directory.hubSince() != null
        return if (expected) emptyList() else redirect(peer, now)
    }

    private fun receiveDigest(peer: VmId, digest: FleetMessage.Digest, now: Long): List<Outgoing> {
        directory.recordKnown(digest.hubs, now)
        if (peer != home || isHub) return emptyList()
        homeHeardAt = now
        digest.crashes?.let { state.applyCrashEvidence(it, now) }
        state.applyServerLimits(digest.limits, now)
        state.applyBrittleServers(digest.brittle, now)
        digest.store?.let { state.applyStoreProgress(it, now) }
        state.applyHelpers(digest.helpers, now)
        state.recordFleetRequests(digest.nodes, digest.requests, now)
        messages.applySums(digest, now)
        digestNodes = digest.nodes
        state.applyTotals(peer, digest.totals, lastSentUses, now)
        state.applyPaceDigest(digest.paces, now)
        digest.claims.forEach { state.applyClaim(peer, it, now) }
        return emptyList()
    }

    /** Tells [peer] which hubs this node knows, at most once per [REDIRECT_INTERVAL_MILLIS]. */
    private fun redirect(peer: VmId, now: Long): List<Outgoing> {
        if (now - (redirectedAt[peer] ?: NEVER) < REDIRECT_INTERVAL_MILLIS) return emptyList()
        redirectedAt[peer] = now
        return listOf(Outgoing(listOf(peer), FleetMessage.Hubs(directory.entries(now))))
    }

    private fun sendAsHub(now: Long, hubs: List<FleetMessage.HubEntry>, out: MutableList<Outgoing>) {
        state.recordFleetRequests(size(now), fleetRequests(now), now)
        messages.applySums(peers.values, size(now), now)
        val (otherHubs, nodes) = peers.entries.partition { it.value.report.hub }
        // In a small fleet, where all nodes are hubs, each sees a large part of the requests and reports more often.
        if (nodes.isNotEmpty() && ticks % NODE_INTERVAL_TICKS != 0) return
        val known = directory.otherHubs(now)
        val receivers = otherHubs.mapTo(known.toMutableSet()) { it.key }
        if (known.isEmpty()) receivers += seeds
        probe.next(known, now)?.let {
            receivers += it
            probe.recordSent(now)
        }
        if (receivers.isNotEmpty()) out += Outgoing(receivers, messages.cellReport(nodes.map { it.value }, hubs, now))
        if (nodes.isEmpty()) return
        val digest = messages.digest(size(now), fleetRequests(now), peers.values, hubs, now)
        out += Outgoing(nodes.map { it.key }, digest)
    }

    private fun fleetRequests(now: Long) = state.ownRequests(now) + peers.values.sumOf { it.report.requests }

    private fun sendAsNode(now: Long, hubs: List<FleetMessage.HubEntry>, out: MutableList<Outgoing>) {
        val current = home
        if (current != null && now - homeHeardAt > HOME_SILENCE_MILLIS) directory.suspect(current, now)
        val next = directory.home(now)
        if (next != current) {
            if (current != null) {
                out += Outgoing(listOf(current), messages.withdrawal())
                state.removeUses(current)
            }
            home = next
            homeHeardAt = now
        }
        if (next == null) return
        lastSentUses = state.ownUses()
        val report = messages.nodeReport(lastSentUses, hubs, now)
        out += Outgoing(listOf(next), report)
    }

    /** Withdraws the reports of this node, which is no longer a hub, and forgets those of its peers. */
    private fun withdrawAll(): Outgoing {
        val known = peers.keys.toList()
        known.forEach(::forget)
        return Outgoing(known, messages.withdrawal())
    }

    private fun removeSilentPeers(now: Long) {
        redirectedAt.values.removeIf { now - it > REDIRECT_INTERVAL_MILLIS }
        val silent = peers.filterValues { now - it.heardAt > PEER_TTL_MILLIS }.keys
        silent.forEach {
            directory.suspect(it, now)
            forget(it)
        }
    }

    private fun forget(peer: VmId) {
        if (peers.remove(peer) != null) state.removeUses(peer)
    }

    public companion object {
        /** Server utilization and queues change within a few hundred milliseconds. */
        public const val INTERVAL_MILLIS: Long = 150

        /** Nodes and their hubs exchange state at every second tick: a node's own requests are a small part of all. */
        private const val NODE_INTERVAL_TICKS = 2
        private const val NEVER = Long.MIN_VALUE / 2

        /** Several intervals of a peer. */
        private const val LIVENESS_TIMEOUT_MILLIS = 1_500L

        /** A peer that is silent for longer is down, and its requests have ended. */
        private const val PEER_TTL_MILLIS = 2_000L

        /** Covers the time in which a node changes its hub. */
        private const val SIZE_WINDOW_MILLIS = 2_000L

        /** A few intervals of the hub, so that nodes of a lost hub have older figures for less than a second. */
        private const val HOME_SILENCE_MILLIS = 700L

        /** Hubs change rarely. */
        private const val HUBS_INTERVAL_MILLIS = 550L

        /** Time to open a connection before a node is probed. */
        private const val LINK_LEAD_MILLIS = 500L
        private const val REDIRECT_INTERVAL_MILLIS = 300L

        /** A node to which others report acts as their hub until they have heard of better ones. */
        private const val ADDRESSED_MILLIS = 700L

        /** Several intervals: a node that starts has heard of better hubs by then. */
        private const val SETTLE_MILLIS = 1_000L

        /** A node that hears nobody is more likely cut off than the only one left. */
        private const val ALONE_CLAIM_MILLIS = 8_000L

        /** Longer than the start times of nodes that are started together differ, also on a slow machine. */
        private const val FRESH_START_MILLIS = 8_000L
    }
}
