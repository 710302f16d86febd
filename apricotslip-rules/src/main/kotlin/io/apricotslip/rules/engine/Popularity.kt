package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import kotlin.math.pow

/** Count of requests for each adapter, halved every half-life. Forgets adapters that count for nothing. */
internal class Popularity(private val halfLifeNanos: Double) {
    private class Count(var value: Double, var at: Long)

    private val counts = HashMap<AdapterVersion, Count>()

    fun add(adapter: AdapterVersion, weight: Double, now: Long) {
        val count = counts.getOrPut(adapter) { Count(0.0, now) }
        count.value = decayed(count, now) + weight
        count.at = now
        if (counts.size > MAX_ADAPTERS) forget(now)
    }

    fun of(adapter: AdapterVersion, now: Long): Double = counts[adapter]?.let { decayed(it, now) } ?: 0.0

    private fun decayed(count: Count, now: Long): Double =
        if (now <= count.at) count.value else count.value * 0.5.pow((now - count.at) / halfLifeNanos)

    private fun forget(now: Long) {
        val kept = counts.entries.map { decayed(it.value, now) }.sortedDescending()[MAX_ADAPTERS / 2]
        counts.entries.removeIf { decayed(it.value, now) < kept }
    }

    private companion object {
        const val MAX_ADAPTERS = 4_096
    }
}
