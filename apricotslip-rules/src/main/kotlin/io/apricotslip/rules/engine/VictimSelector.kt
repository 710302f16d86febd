package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.rules.store.LoadUrgency
import kotlin.math.max

/**
 * Selects the adapter to evict when another one needs its slot. An adapter in use is never selected; one that requests
 * wait for is selected only while it is drained.
 */
internal class VictimSelector(
    private val options: SchedulerOptions,
    private val adapterSlots: AdapterSlots,
    private val waiting: WaitingWork,
    private val popularity: Popularity,
    private val latency: TokenLatencyEstimator,
    private val drain: AdapterDrain,
) {
    /** Adapters that can be evicted now. */
    fun candidates(now: Long): List<AdapterVersion> =
        adapterSlots.idleAdapters(now).filter { waiting.count(it) == 0 || it == drain.adapter }

    /** The adapter to evict next, or null if none can be evicted now. */
    fun select(now: Long): AdapterVersion? {
        val candidates = candidates(now)
        return when (options.evictionPolicy) {
            EvictionPolicy.POPULARITY -> candidates.minByOrNull { popularity.of(it, now) }
            EvictionPolicy.LEAST_RECENTLY_USED -> candidates.minByOrNull { adapterSlots.lastUsedAt(it) }
        }
    }

    /** Starts to drain the adapter that is expected to become idle first, once [demand] has waited long enough. */
    fun drainFor(demand: LoadDemand, now: Long) {
        if (drain.adapter != null || demand.urgency == LoadUrgency.DEFERRABLE) return
        if (now - demand.oldestArrivalAt < options.drainAfterMillis * NANOS_PER_MILLI) return
        val comparator = compareBy<AdapterVersion> { expectedIdleAt(it, now) }.thenBy { popularity.of(it, now) }
        drain.start(adapterSlots.residentAdapters.minWithOrNull(comparator), demand.oldestArrivalAt)
    }

    /** Assumes that each running request produces half of its maximum number of tokens. */
    private fun expectedIdleAt(adapter: AdapterVersion, now: Long): Double {
        val nanosPerToken = latency.secondsPerToken(adapterSlots.running) * NANOS_PER_SECOND
        return adapterSlots
            .runningOn(adapter)
            .maxOfOrNull { max(now.toDouble(), it.startedAt + it.work.maxTokens / 2 * nanosPerToken) }
            ?: 0.0
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val NANOS_PER_SECOND = 1e9
    }
}
