package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.rules.store.LoadUrgency
import io.apricotslip.rules.store.StoreDemand

/**
 * An adapter that requests wait for and that is neither resident nor loading.
 *
 * @property urgency highest urgency of the waiting requests.
 * @property oldestArrivalAt arrival of the oldest waiting request, in nanoseconds.
 * @property score sum of the ages of the waiting requests of the highest urgency, each with an initial score.
 * @property waitingCount number of waiting requests.
 */
internal class LoadDemand(
    val adapter: AdapterVersion,
    val urgency: LoadUrgency,
    val oldestArrivalAt: Long,
    val score: Double,
    val waitingCount: Int,
) {
    fun toStoreDemand(): StoreDemand = StoreDemand(urgency, oldestArrivalAt)
}

/**
 * Orders the adapters that wait to be loaded: by urgency, then by the age and number of their requests.
 *
 * Among adapters with only deferrable requests, the one with the most requests comes first while the batch has room, so
 * that few loads fill the batch. While the batch is full, the one with the fewest comes first, so that the store does
 * not stay idle.
 */
internal class LoadQueue(
    private val options: SchedulerOptions,
    private val urgency: WorkUrgency,
    private val waiting: WaitingWork,
) {
    private val byScore = compareBy<LoadDemand> { it.urgency }.thenByDescending { it.score }
    private val largestFirst =
        compareBy<LoadDemand> { it.urgency }.thenByDescending { it.waitingCount }.thenBy { it.oldestArrivalAt }
    private val smallestFirst =
        compareBy<LoadDemand> { it.urgency }.thenBy { it.waitingCount }.thenBy { it.oldestArrivalAt }

    fun first(now: Long, batchHasRoom: Boolean, eligible: (AdapterVersion) -> Boolean): LoadDemand? {
        val demands = waiting.adapters.filter(eligible).map { demand(it, now) }
        return when (options.loadPolicy) {
            LoadPolicy.FIRST_COME_FIRST_SERVED -> demands.minByOrNull { it.oldestArrivalAt }
            LoadPolicy.WEIGHTED -> firstWeighted(demands, batchHasRoom)
        }
    }

    private fun firstWeighted(demands: List<LoadDemand>, batchHasRoom: Boolean): LoadDemand? {
        val first = demands.minWithOrNull(byScore) ?: return null
        if (first.urgency != LoadUrgency.DEFERRABLE) return first
        return demands.minWithOrNull(if (batchHasRoom) largestFirst else smallestFirst)
    }

    private fun demand(adapter: AdapterVersion, now: Long): LoadDemand {
        val queue = waiting.queue(adapter)!!
        val highest = urgency.of(queue, now)
        var oldest = Long.MAX_VALUE
        var score = 0.0
        queue.forEach {
            if (it.arrivedAt < oldest) oldest = it.arrivedAt
            if (urgency.of(it, now) == highest) score += (now - it.arrivedAt) / NANOS_PER_SECOND + INITIAL_SCORE_SECONDS
        }
        return LoadDemand(adapter, highest, oldest, score, queue.size)
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val INITIAL_SCORE_SECONDS = 0.1
    }
}
