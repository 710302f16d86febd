package io.apricotslip.serving.member

import io.apricotslip.api.id.VmId

/**
 * The nodes known to this node, discovered through seeds and the reports of peers.
 *
 * Safety does not depend on it. It only decides which node claims a server first and how budgets are divided.
 */
public class Members(private val self: VmId, seeds: Collection<VmId>) {
    private val seeds = seeds.filter { it != self }.toSet()
    private val lastMessageAt = HashMap<VmId, Long>()
    private val lastReportedAt = HashMap<VmId, Long>()
    private val startedAt = HashMap<VmId, Long>()

    /** Records a message from [peer]. */
    public fun recordMessage(peer: VmId, now: Long) {
        lastMessageAt[peer] = now
    }

    /** Records that the process of [peer] has run for [upMillis]. */
    public fun recordUptime(peer: VmId, upMillis: Long, now: Long) {
        startedAt[peer] = now - upMillis
    }

    /**
     * Whether all known nodes are live and started within [FRESH_START_MILLIS], so that no running node can have given
     * orders to servers before. This node started at time 0.
     */
    public fun allFreshlyStarted(now: Long): Boolean {
        val peers = linkTargets(now)
        return now < FRESH_START_MILLIS && peers.isNotEmpty() && peers.all { peer ->
            now - (lastMessageAt[peer] ?: NEVER) < LIVENESS_TIMEOUT_MILLIS &&
                (startedAt[peer] ?: NEVER) > -FRESH_START_MILLIS
        }
    }

    /** Records that a peer reported messages from [others]. */
    public fun recordKnownPeers(others: Collection<VmId>, now: Long) {
        others.forEach { if (it != self) lastReportedAt[it] = now }
    }

    /** Nodes that sent a message recently, and this node. */
    public fun live(now: Long): List<VmId> =
        lastMessageAt.filterValues { now - it < LIVENESS_TIMEOUT_MILLIS }.keys.toList() + self

    /** Nodes to keep links to. */
    public fun linkTargets(now: Long): Set<VmId> {
        lastMessageAt.values.removeIf { now - it > FORGET_AFTER_MILLIS }
        lastReportedAt.values.removeIf { now - it > FORGET_AFTER_MILLIS }
        return seeds + lastMessageAt.keys + lastReportedAt.keys
    }

    /** Seeds that sent no message recently. */
    public fun silentSeeds(now: Long): List<VmId> =
        seeds.filter { now - (lastMessageAt[it] ?: NEVER) >= LIVENESS_TIMEOUT_MILLIS }

    /** Number of nodes that sent a message and are not forgotten yet, this node included; at least 1. */
    public fun size(): Int = lastMessageAt.size + 1

    /** Whether this node hears at least half of the nodes that it knows, so that it is not the one cut off. */
    public fun hearsAtLeastHalf(now: Long): Boolean = live(now).size * 2 >= size()

    private companion object {
        /** Longer than the start times of nodes that are started together differ, also on a slow machine. */
        const val FRESH_START_MILLIS = 6_000L
        const val NEVER = Long.MIN_VALUE / 2

        /** Several report intervals of a peer. */
        const val LIVENESS_TIMEOUT_MILLIS = 1_500L

        /** Longer than a restart; a node that is away for longer is found again through the seeds. */
        const val FORGET_AFTER_MILLIS = 15_000L
    }
}
