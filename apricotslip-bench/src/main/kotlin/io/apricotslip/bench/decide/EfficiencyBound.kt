package io.apricotslip.bench.decide

import io.apricotslip.api.work.WorkClass

/**
 * Upper bound for the batch efficiency of a scenario while its deferrable work is outstanding. That work can't end
 * before its last request has arrived, before the store has loaded each adapter that is requested until then and does
 * not fit the slots, and before all engines at full batch have generated the tokens. The bound is loose: no adapter is
 * loaded twice and no engine idles.
 */
internal class EfficiencyBound(private val scenario: Scenario) {
    private val deployment = scenario.deployment
    private val deferrable = scenario.arrivals.filter { it.work.workClass == WorkClass.DEFERRABLE }
    private val backlogStart = deferrable.first().work.arrivedAt
    private val otherArrivals = scenario.arrivals.filter {
        it.work.workClass != WorkClass.DEFERRABLE &&
            it.work.arrivedAt >= backlogStart
    }

    fun compute(): Double {
        val otherTokensPerSecond = otherArrivals.sumOf { it.tokens } / secondsUntil(scenario.lastArrival)
        val tokens = deferrable.sumOf { it.tokens }.toDouble()
        val sendingSeconds = secondsUntil(deferrable.last().work.arrivedAt)
        val decodingSeconds = tokens / (deployment.capacityTokensPerSecond - otherTokensPerSecond)
        val minSeconds = loadingSeconds(maxOf(sendingSeconds, decodingSeconds))
        return (tokens + otherTokensPerSecond * minSeconds) / (deployment.capacityTokensPerSecond * minSeconds)
    }

    /** The first time, at least [atLeast], by which the store can have loaded all adapters requested until then. */
    private fun loadingSeconds(atLeast: Double): Double {
        val candidates = generateSequence(atLeast) { it + 1 }
        return candidates.first { requiredLoads(it) <= it * deployment.store.loadsPerSecond }
    }

    private fun requiredLoads(seconds: Double): Int {
        val until = backlogStart + (seconds * NANOS_PER_SECOND).toLong()
        val requestedAdapters = (deferrable + otherArrivals)
            .filter { it.work.arrivedAt <= until }
            .map { it.work.adapter }
        return requestedAdapters.distinct().size - deployment.slots
    }

    private fun secondsUntil(time: Long): Double = (time - backlogStart).toDouble() / NANOS_PER_SECOND
}
