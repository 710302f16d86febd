package io.apricotslip.serving.order

import io.apricotslip.serving.fleet.ServedAdapter

/**
 * The adapter slots of one engine, tracked by the node that holds the orders for it.
 *
 * Resident adapters and loads together never exceed [capacity]; loads in flight and loads with an unknown outcome are
 * counted.
 */
public class AdapterSlots(private val capacity: Int, private val maxConcurrentOrders: Int = MAX_CONCURRENT_ORDERS) {
    private val residents = LinkedHashMap<ServedAdapter, Resident>()
    private val loadOrderedAt = LinkedHashMap<ServedAdapter, Long>()
    private val unloading = HashSet<ServedAdapter>()

    private class Resident(var version: Long, var lastUsedAt: Long, var reportedMissing: Boolean = false) {
        fun serves(minVersion: Long) = version >= minVersion && !reportedMissing
    }

    /** What to do next for a requested adapter. */
    public sealed class Step {
        /** Nothing: the adapter is resident. */
        public data object Present : Step()

        /** Wait: a load is in flight, or nothing can be ordered now. */
        public data object Wait : Step()

        /** Order the load. */
        public data object Load : Step()

        /** Order the unload of [victim] first. */
        public data class Unload(public val victim: ServedAdapter) : Step()
    }

    /** Resident adapters with their versions, without those being unloaded or reported missing. */
    public val resident: Map<ServedAdapter, Long>
        get() = residents.filter { (adapter, at) -> adapter !in unloading && !at.reportedMissing }
            .mapValues { it.value.version }

    /** Adapters whose load is in flight. */
    public val loading: Set<ServedAdapter>
        get() = loadOrderedAt.keys

    /**
     * The next step for [adapter] in at least [minVersion]; adapters for which [inUse] holds are not unloaded.
     *
     * @param mayLoad whether a load of it may start now.
     */
    public fun nextStep(
        adapter: ServedAdapter,
        minVersion: Long,
        now: Long,
        mayLoad: Boolean = true,
        inUse: (ServedAdapter) -> Boolean,
    ): Step {
        val present = residents[adapter]
        if (present != null && present.serves(minVersion) && adapter !in unloading) {
            present.lastUsedAt = now
            return Step.Present
        }
        if (!mayLoad || adapter in loadOrderedAt || adapter in unloading) return Step.Wait
        if (loadOrderedAt.size + unloading.size >= maxConcurrentOrders) return Step.Wait
        if (present != null || residents.size + loadOrderedAt.size < capacity) return Step.Load
        val victim = leastRecentlyUsed(now, inUse)
        return if (victim == null) Step.Wait else Step.Unload(victim)
    }

    /**
     * The least recently used adapter that may be unloaded. While an engine waits for running requests of an adapter
     * that it should unload, it takes no other order. Adapters used so recently that the reports of other nodes may not
     * show it yet are therefore left alone.
     */
    private fun leastRecentlyUsed(now: Long, inUse: (ServedAdapter) -> Boolean): ServedAdapter? = residents
        .filterKeys { it !in unloading && !inUse(it) }
        .filterValues { now - it.lastUsedAt >= RECENT_USE_MILLIS }
        .minByOrNull { it.value.lastUsedAt }
        ?.key

    /**
     * Records that the server answered that it does not hold [adapter]. The adapter keeps its slot until a load or an
     * unload settles whether it is resident.
     */
    public fun markMissing(adapter: ServedAdapter) {
        residents[adapter]?.reportedMissing = true
    }

    /** Records that [adapter] is in use. */
    public fun recordUse(adapter: ServedAdapter, now: Long) {
        residents[adapter]?.lastUsedAt = now
    }

    /** Records that a load was ordered. */
    public fun recordLoadOrdered(adapter: ServedAdapter, now: Long) {
        loadOrderedAt[adapter] = now
    }

    /** Records that a load completed. */
    public fun recordLoaded(adapter: ServedAdapter, version: Long, now: Long) {
        loadOrderedAt.remove(adapter)
        residents[adapter] = Resident(version, now)
    }

    /** Records that a load was refused and will not happen. */
    public fun recordLoadRefused(adapter: ServedAdapter) {
        loadOrderedAt.remove(adapter)
    }

    /** Records that an unload was ordered. */
    public fun recordUnloadOrdered(adapter: ServedAdapter) {
        unloading.add(adapter)
    }

    /** Records that an unload was refused. */
    public fun recordUnloadRefused(adapter: ServedAdapter) {
        unloading.remove(adapter)
    }

    /** Records that [adapter] is not resident any more. */
    public fun recordUnloaded(adapter: ServedAdapter) {
        unloading.remove(adapter)
        residents.remove(adapter)
    }

    /** Applies what the engine reported before this holder gave any order. */
    public fun applyReport(adapters: Map<ServedAdapter, Long>, now: Long) {
        for ((adapter, version) in adapters) residents[adapter] = Resident(version, now - RECENT_USE_MILLIS)
    }

    internal companion object {
        /** Adapter orders that an engine processes concurrently, per the platform's specification. */
        const val MAX_CONCURRENT_ORDERS = 4

        /** Longest time until the report of another node has arrived: over its hub and the hub of the holder. */
        private const val RECENT_USE_MILLIS = 700L
    }
}
