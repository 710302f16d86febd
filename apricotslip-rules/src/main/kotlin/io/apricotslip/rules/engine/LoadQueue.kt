package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.rules.store.LoadUrgency
import io.apricotslip.rules.store.StoreDemand

/** An adapter that work waits for and that is neither resident nor loading. */
internal class LoadDemand(
    val adapter: AdapterVersion,
    val urgency: LoadUrgency,
    val oldestAt: Long,
    val score: Double,
    val count: Int,
) {
    fun toStore(): StoreDemand = StoreDemand(urgency, oldestAt)
}

/**
 * Orders the adapters that wait for a load: by urgency, then by the age and number of the requests. Among adapters
 * that only deferrable work waits for, the one with the most requests comes first while the batch has room, so that
 * few loads fill it, and the one with the fewest while the batch is full, so that the store does not stand idle.
 */
internal class LoadQueue(
    private val options: SchedulerOptions,
    private val urgency: WorkUrgency,
    private val waiting: WaitingWork,
) {
    private val weighted = compareBy<LoadDemand> { it.urgency }.thenByDescending { it.score }
    private val largest = compareBy<LoadDemand> { it.urgency }.thenByDescending { it.count }.thenBy { it.oldestAt }
    private val smallest = compareBy<LoadDemand> { it.urgency }.thenBy { it.count }.thenBy { it.oldestAt }

    fun first(now: Long, batchHasRoom: Boolean, eligible: (AdapterVersion) -> Boolean): LoadDemand? {
        val demands = waiting.adapters.filter(eligible).map { demand(it, now) }
        return when (options.loadPolicy) {
            LoadPolicy.FIRST_COME_FIRST_SERVED -> demands.minByOrNull { it.oldestAt }
            LoadPolicy.WEIGHTED -> weighted(demands, batchHasRoom)
        }
    }

    private fun weighted(demands: List<LoadDemand>, batchHasRoom: Boolean): LoadDemand? {
        val first = demands.minWithOrNull(weighted) ?: return null
        if (first.urgency != LoadUrgency.DEFERRABLE) return first
        return demands.minWithOrNull(if (batchHasRoom) largest else smallest)
    }

    private fun demand(adapter: AdapterVersion, now: Long): LoadDemand {
        val queue = waiting.queue(adapter)!!
        val highest = urgency.of(queue, now)
        var oldest = Long.MAX_VALUE
        var score = 0.0
        queue.forEach {
            if (it.arrivedAt < oldest) oldest = it.arrivedAt
            if (urgency.of(it, now) == highest) score += (now - it.arrivedAt) / NANOS_PER_SECOND + HEAD_START_SECONDS
        }
        return LoadDemand(adapter, highest, oldest, score, queue.size)
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val HEAD_START_SECONDS = 0.1
    }
}
