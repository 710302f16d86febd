package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.rules.store.LoadUrgency

/** An adapter that work waits for and that is neither resident nor loading. */
internal class LoadDemand(val adapter: AdapterVersion, val urgency: LoadUrgency, val oldestAt: Long, val score: Double)

/** Orders the adapters that wait for a load. */
internal class LoadQueue(private val options: SchedulerOptions, private val urgency: WorkUrgency) {
    fun first(waiting: WaitingWork, now: Long, eligible: (AdapterVersion) -> Boolean): LoadDemand? {
        val demands = waiting.adapters.filter(eligible).map { demand(it, waiting, now) }
        return when (options.loadOrder) {
            LoadOrder.FIRST_COME -> demands.minByOrNull { it.oldestAt }
            LoadOrder.WEIGHTED -> demands.minWithOrNull(
                compareBy<LoadDemand> {
                    it.urgency
                }.thenByDescending { it.score },
            )
        }
    }

    private fun demand(adapter: AdapterVersion, waiting: WaitingWork, now: Long): LoadDemand {
        val queue = waiting.queue(adapter)!!
        val highest = urgency.of(queue, now)
        var oldest = Long.MAX_VALUE
        var score = 0.0
        queue.forEach {
            if (it.arrivedAt < oldest) oldest = it.arrivedAt
            if (urgency.of(it, now) == highest) score += (now - it.arrivedAt) / NANOS_PER_SECOND + HEAD_START_SECONDS
        }
        return LoadDemand(adapter, highest, oldest, score)
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val HEAD_START_SECONDS = 0.1
    }
}
