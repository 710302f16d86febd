package io.apricotslip.bench.decide

import io.apricotslip.api.work.WorkClass

/**
 * Highest batch efficiency that a scenario allows while its deferrable work is outstanding: that work ends no sooner
 * than its last request comes, than the store has loaded each of its adapters once, and than all engines at full batch
 * have made its tokens and those of the other requests meanwhile. Loose: it knows no slots, and no engine waits.
 */
internal class EfficiencyBound(private val scenario: Scenario) {
    private val capacity = scenario.deployment.capacity
    private val deferrable = scenario.arrivals.filter { it.work.workClass == WorkClass.DEFERRABLE }

    fun compute(): Double {
        val begin = deferrable.first().work.arrivedAt
        val sending = secondsBetween(begin, deferrable.last().work.arrivedAt)
        val loading = deferrable.map { it.work.adapter }.distinct().size / scenario.deployment.store.loadsPerSecond
        val others = scenario.arrivals.filter {
            it.work.workClass != WorkClass.DEFERRABLE && it.work.arrivedAt >= begin
        }
        val othersPerSecond = others.sumOf { it.tokens } / secondsBetween(begin, scenario.lastArrival)
        val tokens = deferrable.sumOf { it.tokens }.toDouble()
        val decoding = tokens / (capacity - othersPerSecond)
        val shortest = maxOf(sending, loading, decoding)
        return (tokens + othersPerSecond * shortest) / (capacity * shortest)
    }

    private fun secondsBetween(from: Long, to: Long): Double = (to - from).toDouble() / NANOS_PER_SECOND
}
