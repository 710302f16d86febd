package io.apricotslip.rules.engine

import io.apricotslip.api.work.WorkClass
import io.apricotslip.rules.store.LoadUrgency

/**
 * Urgency of queued requests: that of their class, raised by one level after a long wait to prevent starvation, or near
 * the deadline of a deferrable request.
 */
internal class WorkUrgency(private val options: SchedulerOptions) {
    fun of(work: WorkItem, now: Long): LoadUrgency = when (work.workClass) {
        WorkClass.INTERACTIVE -> LoadUrgency.INTERACTIVE
        WorkClass.PLAN ->
            if (hasWaited(work, options.planPromotionMillis, now)) LoadUrgency.INTERACTIVE else LoadUrgency.PLAN
        WorkClass.DEFERRABLE -> if (isPromoted(work, now)) LoadUrgency.PLAN else LoadUrgency.DEFERRABLE
    }

    fun of(queue: AdapterQueue, now: Long): LoadUrgency =
        WorkClass.entries.mapNotNull { queue.head(it) }.minOf { of(it, now) }

    private fun isPromoted(work: WorkItem, now: Long): Boolean =
        hasWaited(work, options.deferrableMaxWaitMillis, now) ||
            work.deadlineAt - now < options.deadlinePromotionMillis * NANOS_PER_MILLI

    private fun hasWaited(work: WorkItem, millis: Long, now: Long): Boolean =
        now - work.arrivedAt >= millis * NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
