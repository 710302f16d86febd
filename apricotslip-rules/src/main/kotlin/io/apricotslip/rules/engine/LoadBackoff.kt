package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import kotlin.math.min
import kotlin.random.Random

/**
 * Exponential backoff with jitter for failed loads, apart for each adapter. When loads of several adapters failed in a
 * row it was the store that failed: the first load that succeeds again ends the waits of all.
 */
internal class LoadBackoff(private val options: SchedulerOptions, private val random: Random) {
    private class Failure(val count: Int, val until: Long)

    private val failures = HashMap<AdapterVersion, Failure>()
    private val failedInRow = HashSet<AdapterVersion>()

    fun failed(adapter: AdapterVersion, now: Long) {
        val count = (failures[adapter]?.count ?: 0) + 1
        val full = options.loadBackoffMillis shl min(count - 1, MAX_DOUBLINGS)
        val millis = min(full, options.maxLoadBackoffMillis) * (HALF + random.nextDouble() * HALF)
        failures[adapter] = Failure(count, now + (millis * NANOS_PER_MILLI).toLong())
        failedInRow += adapter
    }

    fun succeeded(adapter: AdapterVersion) {
        if (failedInRow.size >= OUTAGE_ADAPTERS) failures.clear() else failures.remove(adapter)
        failedInRow.clear()
    }

    fun blocks(adapter: AdapterVersion, now: Long): Boolean = until(adapter) > now

    fun until(adapter: AdapterVersion): Long = failures[adapter]?.until ?: Long.MIN_VALUE

    private companion object {
        const val OUTAGE_ADAPTERS = 3
        const val MAX_DOUBLINGS = 16
        const val HALF = 0.5
        const val NANOS_PER_MILLI = 1e6
    }
}
