package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.rules.store.LoadUrgency
import kotlin.math.max

/** Decides which waiting adapter may be loaded next, and whether deferrable work may have a slot for it. */
internal class LoadPlanner(
    private val slots: Int,
    private val batch: Int,
    private val options: SchedulerOptions,
    private val use: Slots,
    private val waiting: WaitingWork,
    private val backoff: LoadBackoff,
    private val victims: Victims,
    private val queue: LoadQueue,
) {
    private val urgentSlots = max(1, (slots * options.urgentSlotRatio).toInt())

    fun next(now: Long): LoadDemand? {
        val room = batchHasRoom()
        val demand = queue.first(now, room) { isLoadable(it, now) } ?: return null
        val ordered =
            options.loadPolicy == LoadPolicy.FIRST_COME_FIRST_SERVED || demand.urgency != LoadUrgency.DEFERRABLE
        return demand.takeIf { ordered || mayDefer(room, now) }
    }

    fun hasDemand(now: Long): Boolean = waiting.adapters.any { isLoadable(it, now) }

    fun isLoadable(adapter: AdapterVersion, now: Long): Boolean =
        !use.isResident(adapter) && !use.isLoading(adapter) && !backoff.blocks(adapter, now)

    private fun batchHasRoom(): Boolean {
        val startable = use.adapters.sumOf { waiting.count(it) } + use.loads.sumOf { waiting.count(it) }
        return use.running + use.foreign + startable < batch
    }

    /** Leaves slots for urgent work, and does not fill slots with adapters whose work can't start. */
    private fun mayDefer(batchHasRoom: Boolean, now: Long): Boolean {
        val obtainable = max(0, use.free) + use.evicting + victims.candidates(now).size
        if (obtainable <= urgentSlots) return false
        return batchHasRoom ||
            use.adapters.count { use.running(it) == 0 && waiting.count(it) > 0 } < options.loadedAhead
    }
}
