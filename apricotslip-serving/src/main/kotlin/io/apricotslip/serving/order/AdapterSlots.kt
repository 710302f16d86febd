package io.apricotslip.serving.order

import io.apricotslip.serving.fleet.ServedAdapter

/**
 * The places for adapters of one engine, as the holder of its orders knows them.
 *
 * Loads never exceed [capacity], those under way and those with an unknown outcome counted.
 */
public class AdapterSlots(private val capacity: Int, private val concurrentLoads: Int = CONCURRENT_LOADS) {
    private val present = LinkedHashMap<ServedAdapter, Resident>()
    private val coming = LinkedHashMap<ServedAdapter, Long>()
    private val leaving = HashSet<ServedAdapter>()

    private class Resident(var version: Long, var usedAt: Long, var doubtful: Boolean = false) {
        fun serves(oldest: Long) = version >= oldest && !doubtful
    }

    /** What to do next for an adapter that is asked for. */
    public sealed class Step {
        /** Nothing: it is there. */
        public data object Present : Step()

        /** Wait: a load is under way, or nothing can be ordered now. */
        public data object Wait : Step()

        /** Order the load. */
        public data object Load : Step()

        /** Order [victim] out first. */
        public data class Unload(public val victim: ServedAdapter) : Step()
    }

    /** Adapters in place, with their versions. */
    public val resident: Map<ServedAdapter, Long>
        get() = present.filter { (adapter, at) -> adapter !in leaving && !at.doubtful }.mapValues { it.value.version }

    /** Adapters on their way. */
    public val loading: Set<ServedAdapter>
        get() = coming.keys

    /**
     * The next step for [adapter] in at least [version]; adapters for which [inUse] holds are not dropped.
     *
     * @param mayLoad whether a load of it may start now.
     */
    public fun nextStep(
        adapter: ServedAdapter,
        version: Long,
        now: Long,
        mayLoad: Boolean = true,
        inUse: (ServedAdapter) -> Boolean,
    ): Step {
        val there = present[adapter]
        if (there != null && there.serves(version) && adapter !in leaving) {
            there.usedAt = now
            return Step.Present
        }
        if (!mayLoad || adapter in coming || adapter in leaving) return Step.Wait
        if (coming.size + leaving.size >= concurrentLoads) return Step.Wait
        if (there != null || present.size + coming.size < capacity) return Step.Load
        val victim = victim(now, inUse)
        return if (victim == null) Step.Wait else Step.Unload(victim)
    }

    /**
     * The adapter that was not used for the longest time. An engine takes no other order while it waits for the runs of
     * one
     * that it should drop, so those used so lately that the reports of other nodes may not show it are left alone.
     */
    private fun victim(now: Long, inUse: (ServedAdapter) -> Boolean): ServedAdapter? = present
        .filterKeys { it !in leaving && !inUse(it) }
        .filterValues { now - it.usedAt >= RECENT_MILLIS }
        .minByOrNull { it.value.usedAt }
        ?.key

    /** Takes note that the server said it does not hold [adapter]; the place stays counted until a load shows it. */
    public fun markMissing(adapter: ServedAdapter) {
        present[adapter]?.doubtful = true
    }

    /** Takes note that [adapter] is in use. */
    public fun recordUse(adapter: ServedAdapter, now: Long) {
        present[adapter]?.usedAt = now
    }

    /** Takes note that a load was ordered. */
    public fun recordLoadOrdered(adapter: ServedAdapter, now: Long) {
        coming[adapter] = now
    }

    /** Takes note that a load is done. */
    public fun recordLoaded(adapter: ServedAdapter, version: Long, now: Long) {
        coming.remove(adapter)
        present[adapter] = Resident(version, now)
    }

    /** Takes note that a load was refused and will not happen. */
    public fun recordLoadRefused(adapter: ServedAdapter) {
        coming.remove(adapter)
    }

    /** Takes note that an unload was ordered. */
    public fun recordUnloadOrdered(adapter: ServedAdapter) {
        leaving.add(adapter)
    }

    /** Takes note that an unload was refused. */
    public fun recordUnloadRefused(adapter: ServedAdapter) {
        leaving.remove(adapter)
    }

    /** Takes note that [adapter] is not there any more. */
    public fun recordUnloaded(adapter: ServedAdapter) {
        leaving.remove(adapter)
        present.remove(adapter)
    }

    /** Takes what the engine reported before any order of this holder. */
    public fun applyReport(adapters: Map<ServedAdapter, Long>, now: Long) {
        for ((adapter, version) in adapters) present[adapter] = Resident(version, now - RECENT_MILLIS)
    }

    internal companion object {
        /** Adapters that an engine takes at the same time, by the pages of the platform. */
        const val CONCURRENT_LOADS = 4

        /** Two reports of another node. */
        private const val RECENT_MILLIS = 300L
    }
}
