package io.apricotslip.rules.engine

import io.apricotslip.api.work.WorkClass
import io.apricotslip.rules.store.LoadUrgency

/** Urgency of waiting work: that of its class, raised by one step after a long wait so that nobody starves. */
internal class WorkUrgency(private val options: SchedulerOptions) {
    fun of(work: Work, now: Long): LoadUrgency = when (work.workClass) {
        WorkClass.INTERACTIVE -> LoadUrgency.INTERACTIVE
        WorkClass.PLAN -> raised(work, now, options.planPromoteMillis, LoadUrgency.PLAN)
        WorkClass.DEFERRABLE -> raised(work, now, options.deferrableMaxWaitMillis, LoadUrgency.DEFERRABLE)
    }

    fun of(queue: AdapterQueue, now: Long): LoadUrgency =
        WorkClass.entries.mapNotNull { queue.head(it) }.minOf { of(it, now) }

    private fun raised(work: Work, now: Long, afterMillis: Long, usual: LoadUrgency): LoadUrgency {
        val waited = now - work.arrivedAt
        return if (waited < afterMillis * NANOS_PER_MILLI) usual else LoadUrgency.entries[usual.ordinal - 1]
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
