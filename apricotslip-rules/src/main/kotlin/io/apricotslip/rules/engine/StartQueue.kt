package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.work.WorkClass
import io.apricotslip.rules.store.LoadUrgency

/**
 * Selects the queued request to start next on the resident adapters: the most urgent, then the oldest. Among deferrable
 * requests, those of the adapter with the fewest queued requests start first, because its slot is freed soonest.
 */
internal class StartQueue(
    private val batch: Int,
    private val options: SchedulerOptions,
    private val urgency: WorkUrgency,
    private val drain: AdapterDrain,
) {
    fun next(waiting: WaitingWork, adapterSlots: AdapterSlots, now: Long): WorkItem? {
        val freeInBatch = batch - adapterSlots.running - adapterSlots.foreignRunning
        if (freeInBatch <= 0) return null
        val deferrableAllowed = freeInBatch > (batch * options.interactiveReserveRatio).toInt()
        return adapterSlots.residentAdapters
            .filter { adapterSlots.isUsable(it) }
            .mapNotNull { head(it, waiting, deferrableAllowed, now) }
            .minWithOrNull(
                compareBy<WorkItem> { urgency.of(it, now) }
                    .thenBy { if (urgency.of(it, now) == LoadUrgency.DEFERRABLE) waiting.count(it.adapter) else 0 }
                    .thenBy { it.arrivedAt },
            )
    }

    private fun head(adapter: AdapterVersion, waiting: WaitingWork, deferrableAllowed: Boolean, now: Long): WorkItem? {
        val queue = waiting.queue(adapter) ?: return null
        return WorkClass.entries
            .mapNotNull { queue.head(it) }
            .filter { deferrableAllowed || urgency.of(it, now) != LoadUrgency.DEFERRABLE }
            .filterNot { drain.blocks(it) }
            .minWithOrNull(compareBy<WorkItem> { urgency.of(it, now) }.thenBy { it.arrivedAt })
    }
}
