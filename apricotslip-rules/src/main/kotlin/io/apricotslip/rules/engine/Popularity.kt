package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import kotlin.math.pow

/**
 * Exponentially decayed request count of each adapter: the count halves every half-life. Beyond [MAX_ADAPTERS] the
 * least popular adapters are dropped.
 */
internal class Popularity(private val halfLifeNanos: Double) {
    private class DecayedCount(var value: Double, var updatedAt: Long)

    private val counts = HashMap<AdapterVersion, DecayedCount>()

    fun recordRequest(adapter: AdapterVersion, weight: Double, now: Long) {
        val count = counts.getOrPut(adapter) { DecayedCount(0.0, now) }
        count.value = decayed(count, now) + weight
        count.updatedAt = now
        if (counts.size > MAX_ADAPTERS) dropLeastPopular(now)
    }

    fun of(adapter: AdapterVersion, now: Long): Double = counts[adapter]?.let { decayed(it, now) } ?: 0.0

    private fun decayed(count: DecayedCount, now: Long): Double =
        if (now <= count.updatedAt) count.value else count.value * 0.5.pow((now - count.updatedAt) / halfLifeNanos)

    private fun dropLeastPopular(now: Long) {
        val minCount = counts.entries.map { decayed(it.value, now) }.sortedDescending()[MAX_ADAPTERS / 2]
        counts.entries.removeIf { decayed(it.value, now) < minCount }
    }

    private companion object {
        const val MAX_ADAPTERS = 4_096
    }
}
