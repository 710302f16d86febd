package io.apricotslip.serving.member

import io.apricotslip.api.id.VmId

/**
 * The nodes that this node knows of, found through seeds and through what peers tell.
 *
 * Nothing that must be safe rests on it; it decides who orders what first, and shares of budgets.
 */
public class Members(private val self: VmId, seeds: Collection<VmId>) {
    private val seeds = seeds.filter { it != self }.toSet()
    private val heardAt = HashMap<VmId, Long>()
    private val toldAt = HashMap<VmId, Long>()
    private val startedAt = HashMap<VmId, Long>()

    /** Takes note of a message from [peer]. */
    public fun recordMessage(peer: VmId, now: Long) {
        heardAt[peer] = now
    }

    /** Takes note that the process of [peer] has run for [upMillis]. */
    public fun recordUptime(peer: VmId, upMillis: Long, now: Long) {
        startedAt[peer] = now - upMillis
    }

    /**
     * Whether all nodes that are known started within [FRESH_MILLIS], and are heard: no node that lives can have given
     * orders to servers before. [self] started at 0.
     */
    public fun allFreshlyStarted(now: Long): Boolean {
        val peers = linkTargets(now)
        return now < FRESH_MILLIS && peers.isNotEmpty() && peers.all { peer ->
            now - (heardAt[peer] ?: NEVER) < LIVE_MILLIS && (startedAt[peer] ?: NEVER) > -FRESH_MILLIS
        }
    }

    /** Takes note that a peer hears [others]. */
    public fun recordKnownPeers(others: Collection<VmId>, now: Long) {
        others.forEach { if (it != self) toldAt[it] = now }
    }

    /** Nodes from which a message came lately, this one included. */
    public fun live(now: Long): List<VmId> = heardAt.filterValues { now - it < LIVE_MILLIS }.keys.toList() + self

    /** Nodes to keep links to. */
    public fun linkTargets(now: Long): Set<VmId> {
        heardAt.values.removeIf { now - it > FORGET_MILLIS }
        toldAt.values.removeIf { now - it > FORGET_MILLIS }
        return seeds + heardAt.keys + toldAt.keys
    }

    /** Seeds from which no message came lately. */
    public fun silentSeeds(now: Long): List<VmId> = seeds.filter { now - (heardAt[it] ?: NEVER) >= LIVE_MILLIS }

    /** Number of nodes that were heard within the time after which one is forgotten; at least 1. */
    public fun size(): Int = heardAt.size + 1

    /** Whether this node hears at least half of the nodes that it knows, and so is not the one that is cut off. */
    public fun hearsAtLeastHalf(now: Long): Boolean = live(now).size * 2 >= size()

    private companion object {
        /** Longer than nodes that start together differ, with a start on a slow machine. */
        const val FRESH_MILLIS = 6_000L
        const val NEVER = Long.MIN_VALUE / 2

        /** Several reports of a peer. */
        const val LIVE_MILLIS = 1_500L

        /** Longer than a restart; a node that is away for longer comes back through the seeds. */
        const val FORGET_MILLIS = 15_000L
    }
}
