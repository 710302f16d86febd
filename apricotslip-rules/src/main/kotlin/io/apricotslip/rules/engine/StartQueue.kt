package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.work.WorkClass
import io.apricotslip.rules.store.LoadUrgency

/**
 * Chooses the waiting work to start next on the resident adapters: the most urgent, then the oldest. Deferrable work
 * starts on the adapter with the least of it, which frees a slot soonest.
 */
internal class StartQueue(
    private val batch: Int,
    private val options: SchedulerOptions,
    private val urgency: WorkUrgency,
    private val drain: Drain,
) {
    fun next(waiting: WaitingWork, use: Slots, now: Long): WorkItem? {
        val room = batch - use.running - use.foreign
        if (room <= 0) return null
        val deferrable = room > (batch * options.interactiveReserve).toInt()
        return use.adapters
            .filter { use.isUsable(it) }
            .mapNotNull { head(it, waiting, deferrable, now) }
            .minWithOrNull(
                compareBy<WorkItem> { urgency.of(it, now) }
                    .thenBy { if (urgency.of(it, now) == LoadUrgency.DEFERRABLE) waiting.count(it.adapter) else 0 }
                    .thenBy { it.arrivedAt },
            )
    }

    private fun head(adapter: AdapterVersion, waiting: WaitingWork, deferrable: Boolean, now: Long): WorkItem? {
        val queue = waiting.queue(adapter) ?: return null
        return WorkClass.entries
            .mapNotNull { queue.head(it) }
            .filter { deferrable || urgency.of(it, now) != LoadUrgency.DEFERRABLE }
            .filterNot { drain.holds(it) }
            .minWithOrNull(compareBy<WorkItem> { urgency.of(it, now) }.thenBy { it.arrivedAt })
    }
}
