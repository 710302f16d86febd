package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.rules.store.LoadUrgency
import kotlin.math.max

/** Decides which adapter may be loaded next, and whether deferrable requests may take a slot for it. */
internal class LoadPlanner(
    private val slotCount: Int,
    private val batch: Int,
    private val options: SchedulerOptions,
    private val adapterSlots: AdapterSlots,
    private val waiting: WaitingWork,
    private val backoff: LoadBackoff,
    private val victimSelector: VictimSelector,
    private val queue: LoadQueue,
) {
    private val urgentSlots = max(1, (slotCount * options.urgentSlotRatio).toInt())

    /** The demand to load next, or null if none may be loaded now. */
    fun next(now: Long): LoadDemand? {
        val batchHasRoom = batchHasRoom()
        val demand = queue.first(now, batchHasRoom) { isLoadable(it, now) } ?: return null
        val unrestricted =
            options.loadPolicy == LoadPolicy.FIRST_COME_FIRST_SERVED || demand.urgency != LoadUrgency.DEFERRABLE
        return demand.takeIf { unrestricted || mayLoadDeferrable(batchHasRoom, now) }
    }

    fun hasDemand(now: Long): Boolean = waiting.adapters.any { isLoadable(it, now) }

    fun isLoadable(adapter: AdapterVersion, now: Long): Boolean =
        !adapterSlots.isResident(adapter) && !adapterSlots.isLoading(adapter) && !backoff.isBackingOff(adapter, now)

    private fun batchHasRoom(): Boolean {
        val startable =
            adapterSlots.residentAdapters.sumOf { waiting.count(it) } +
                adapterSlots.loadingAdapters.sumOf { waiting.count(it) }
        return adapterSlots.running + adapterSlots.foreignRunning + startable < batch
    }

    /** Reserves slots for urgent requests, and avoids filling slots with adapters whose requests can't start yet. */
    private fun mayLoadDeferrable(batchHasRoom: Boolean, now: Long): Boolean {
        val obtainable =
            max(0, adapterSlots.freeCount) + adapterSlots.evictingCount + victimSelector.candidates(now).size
        if (obtainable <= urgentSlots) return false
        return batchHasRoom ||
            adapterSlots.residentAdapters.count { adapterSlots.running(it) == 0 && waiting.count(it) > 0 } <
            options.maxPreloadedAdapters
    }
}
