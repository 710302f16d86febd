package io.apricotslip.serving.fleet

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.VmId

/** What this node believes about one life of one backend server. */
public class Server(entry: ServerEntry, revision: Long, now: Long) {
    /** What it published last. */
    public var entry: ServerEntry = entry
        private set

    /** Revision of the store at which [entry] was written. */
    public var revision: Long = revision
        private set

    /** Time at which [entry] was read. */
    public var entryReadAt: Long = now
        private set

    /** Time from which no new work goes there, or null. */
    public var leavingSince: Long? = now.takeIf { entry.leaving }
        private set

    public val id: BackendServerId
        get() = entry.id
    public val health: ServerHealth = ServerHealth()
    public val latencyEstimator: EngineLatencyEstimator = EngineLatencyEstimator()

    /** Adapters that it holds with their versions, by its entry or its order holder, whichever is newer. */
    public var adapters: Map<ServedAdapter, Long> = entry.adapters
        private set

    /** Adapters that are on their way to it. */
    public var loading: Set<ServedAdapter> = emptySet()
        private set

    /** Work of this node there. */
    public var localUtilization: ServerUtilization = ServerUtilization()

    private class PeerUse(val counts: ServerUtilization, val adapters: Set<ServedAdapter>, val at: Long)

    private val peers = HashMap<VmId, PeerUse>()
    private var toldByHolderAt = Long.MIN_VALUE / 2
    private val held = LinkedHashSet(entry.adapters.keys)
    private val ownAdapters = HashMap<ServedAdapter, Int>()

    /** Adapters that requests of this node use there, or wait for. */
    public val localAdaptersInUse: Set<ServedAdapter>
        get() = ownAdapters.keys

    /** Takes a newer entry of the same life. */
    public fun update(newer: ServerEntry, at: Long, now: Long) {
        if (at < revision) return
        entry = newer
        revision = at
        entryReadAt = now
        if (newer.leaving && leavingSince == null) leavingSince = now
        if (!newer.leaving) leavingSince = null
        if (now - toldByHolderAt > HOLDER_SILENT_MILLIS) hold(newer.adapters, emptySet())
    }

    /** Takes what the holder of the orders for this server knows of its places. */
    public fun applyHolderReport(resident: Map<ServedAdapter, Long>, coming: Set<ServedAdapter>, now: Long) {
        toldByHolderAt = now
        hold(resident, coming)
    }

    /** Drops [adapter]: the server said that it does not hold it. */
    public fun markAdapterMissing(adapter: ServedAdapter) {
        adapters = adapters - adapter
    }

    /** Takes note that an ordered load of [adapter] is done. */
    public fun recordLoaded(adapter: ServedAdapter, version: Long) {
        hold(adapters + (adapter to version), loading - adapter)
    }

    /** Whether the server held [adapter] not long ago, which makes a load of it short. */
    public fun recentlyHeld(adapter: ServedAdapter): Boolean = adapter in held

    /** Takes the counts of [peer], whose requests use [adapters] or wait for them. */
    public fun recordPeerUtilization(peer: VmId, counts: ServerUtilization, adapters: Set<ServedAdapter>, now: Long) {
        if (counts == NONE) peers.remove(peer) else peers[peer] = PeerUse(counts, adapters, now)
    }

    /** Takes note of a request of this node that uses [adapter], or waits for it. */
    public fun retainAdapter(adapter: ServedAdapter) {
        ownAdapters.merge(adapter, 1, Int::plus)
    }

    /** Takes note that a request of this node does not use [adapter] any more. */
    public fun releaseAdapter(adapter: ServedAdapter) {
        ownAdapters.computeIfPresent(adapter) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    /** Whether a request of any node uses [adapter], or waits for it, as far as known at [now]. */
    public fun inUse(adapter: ServedAdapter, now: Long): Boolean =
        adapter in ownAdapters || peers.values.any { fresh(it, now) && adapter in it.adapters }

    /** Adapters that requests of all nodes use, or wait for, as far as known at [now]. */
    public fun adaptersInUse(now: Long): Set<ServedAdapter> {
        val all = HashSet(ownAdapters.keys)
        for (use in peers.values) if (fresh(use, now)) all.addAll(use.adapters)
        return all
    }

    /** Loads from the weight store that are under way. */
    public fun storeLoadsInFlight(): Int = loading.count { !recentlyHeld(it) }

    /** Work of all nodes there, as far as known at [now]. */
    public fun totalUtilization(now: Long): ServerUtilization {
        if (peers.isEmpty()) return localUtilization
        var sum = localUtilization
        for (use in peers.values) if (fresh(use, now)) sum += use.counts
        return sum
    }

    private fun fresh(use: PeerUse, now: Long) = now - use.at < PEER_USE_MILLIS

    private fun hold(resident: Map<ServedAdapter, Long>, coming: Set<ServedAdapter>) {
        adapters = resident
        loading = coming
        for (adapter in resident.keys) {
            held.remove(adapter)
            held.add(adapter)
        }
        while (held.size > HELD_BEFORE) held.remove(held.first())
    }

    private companion object {
        val NONE = ServerUtilization()

        /** Ten reports of a peer: a peer that is silent for longer is gone, and so are its requests. */
        const val PEER_USE_MILLIS = 2_000L

        /** Several reports of a holder; after that the published entry is the better source. */
        const val HOLDER_SILENT_MILLIS = 2_500L

        /** Adapters that an engine keeps in the memory of its host, by the deployments' sheets. */
        const val HELD_BEFORE = 120
    }
}
