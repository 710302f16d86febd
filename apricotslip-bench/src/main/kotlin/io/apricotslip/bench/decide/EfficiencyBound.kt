package io.apricotslip.bench.decide

import io.apricotslip.api.work.WorkClass

/**
 * Highest batch efficiency that a scenario allows while its deferrable work is outstanding: that work ends no sooner
 * than its last request comes, than the store has loaded once each adapter that is asked for until then and does not
 * fit the slots, and than all engines at full batch have made the tokens. Loose: no adapter is loaded twice, and no
 * engine waits.
 */
internal class EfficiencyBound(private val scenario: Scenario) {
    private val deployment = scenario.deployment
    private val deferrable = scenario.arrivals.filter { it.work.workClass == WorkClass.DEFERRABLE }
    private val begin = deferrable.first().work.arrivedAt
    private val others = scenario.arrivals.filter {
        it.work.workClass != WorkClass.DEFERRABLE &&
            it.work.arrivedAt >= begin
    }

    fun compute(): Double {
        val othersPerSecond = others.sumOf { it.tokens } / secondsUntil(scenario.lastArrival)
        val tokens = deferrable.sumOf { it.tokens }.toDouble()
        val sending = secondsUntil(deferrable.last().work.arrivedAt)
        val decoding = tokens / (deployment.capacity - othersPerSecond)
        val shortest = loading(maxOf(sending, decoding))
        return (tokens + othersPerSecond * shortest) / (deployment.capacity * shortest)
    }

    /** The time from [atLeast] on at which the store can have loaded all that was asked for until then. */
    private fun loading(atLeast: Double): Double {
        val times = generateSequence(atLeast) { it + 1 }
        return times.first { loads(it) <= it * deployment.store.loadsPerSecond }
    }

    private fun loads(seconds: Double): Int {
        val until = begin + (seconds * NANOS_PER_SECOND).toLong()
        val asked = (deferrable + others).filter { it.work.arrivedAt <= until }.map { it.work.adapter }
        return asked.distinct().size - deployment.slots
    }

    private fun secondsUntil(time: Long): Double = (time - begin).toDouble() / NANOS_PER_SECOND
}
