package io.apricotslip.rules.engine

import io.apricotslip.api.work.WorkClass
import io.apricotslip.rules.store.LoadUrgency

/** Urgency of waiting work: that of its class, raised by one step after a long wait so that nobody starves. */
internal class WorkUrgency(private val options: SchedulerOptions) {
    fun of(work: WorkItem, now: Long): LoadUrgency = when (work.workClass) {
        WorkClass.INTERACTIVE -> LoadUrgency.INTERACTIVE
        WorkClass.PLAN -> if (waited(
                work,
                options.planPromoteMillis,
                now,
            )
        ) {
            LoadUrgency.INTERACTIVE
        } else {
            LoadUrgency.PLAN
        }
        WorkClass.DEFERRABLE -> if (isDue(work, now)) LoadUrgency.PLAN else LoadUrgency.DEFERRABLE
    }

    fun of(queue: AdapterQueue, now: Long): LoadUrgency =
        WorkClass.entries.mapNotNull { queue.head(it) }.minOf { of(it, now) }

    private fun isDue(work: WorkItem, now: Long): Boolean = waited(work, options.deferrableMaxWaitMillis, now) ||
        work.deadlineAt - now < options.deadlineNearMillis * NANOS_PER_MILLI

    private fun waited(work: WorkItem, millis: Long, now: Long): Boolean =
        now - work.arrivedAt >= millis * NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
