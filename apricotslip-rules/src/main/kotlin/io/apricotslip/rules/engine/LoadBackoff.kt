package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import kotlin.math.min
import kotlin.random.Random

/** Exponential backoff with jitter for failed loads, apart for each adapter. */
internal class LoadBackoff(private val options: SchedulerOptions, private val random: Random) {
    private class Failure(val count: Int, val until: Long)

    private val failures = HashMap<AdapterVersion, Failure>()

    fun failed(adapter: AdapterVersion, now: Long) {
        val count = (failures[adapter]?.count ?: 0) + 1
        val full = options.loadBackoffMillis shl min(count - 1, MAX_DOUBLINGS)
        val millis = min(full, options.maxLoadBackoffMillis) * (HALF + random.nextDouble() * HALF)
        failures[adapter] = Failure(count, now + (millis * NANOS_PER_MILLI).toLong())
    }

    fun succeeded(adapter: AdapterVersion) {
        failures.remove(adapter)
    }

    fun blocks(adapter: AdapterVersion, now: Long): Boolean = until(adapter) > now

    fun until(adapter: AdapterVersion): Long = failures[adapter]?.until ?: Long.MIN_VALUE

    private companion object {
        const val MAX_DOUBLINGS = 16
        const val HALF = 0.5
        const val NANOS_PER_MILLI = 1e6
    }
}
