package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.rules.store.LoadUrgency
import kotlin.math.max

/** Chooses which adapter makes room for another. Never one in use; one that work waits for only when it is drained. */
internal class Victims(
    private val options: SchedulerOptions,
    private val use: Slots,
    private val waiting: WaitingWork,
    private val popularity: Popularity,
    private val speed: SpeedMeter,
    private val drain: Drain,
) {
    /** Adapters that can be evicted now. */
    fun candidates(now: Long): List<AdapterVersion> =
        use.idle(now).filter { waiting.count(it) == 0 || it == drain.adapter }

    fun next(now: Long): AdapterVersion? {
        val candidates = candidates(now)
        return when (options.evictionPolicy) {
            EvictionPolicy.POPULARITY -> candidates.minByOrNull { popularity.of(it, now) }
            EvictionPolicy.LEAST_RECENTLY_USED -> candidates.minByOrNull { use.usedAt(it) }
        }
    }

    /** Begins to free the adapter that will be idle first, once [demand] has waited long. */
    fun drainFor(demand: LoadDemand, now: Long) {
        if (drain.adapter != null || demand.urgency == LoadUrgency.DEFERRABLE) return
        if (now - demand.oldestAt < options.drainAfterMillis * NANOS_PER_MILLI) return
        val order = compareBy<AdapterVersion> { idleAt(it, now) }.thenBy { popularity.of(it, now) }
        drain.begin(use.adapters.minWithOrNull(order), demand.oldestAt)
    }

    private fun idleAt(adapter: AdapterVersion, now: Long): Double {
        val perToken = speed.perToken(use.running) * NANOS_PER_SECOND
        return use.startedOn(adapter).maxOfOrNull { max(now.toDouble(), it.at + it.work.maxTokens / 2 * perToken) }
            ?: 0.0
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val NANOS_PER_SECOND = 1e9
    }
}
