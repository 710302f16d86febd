package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import kotlin.math.min
import kotlin.random.Random

/**
 * Exponential backoff with jitter after failed loads, kept per adapter.
 *
 * Failures of several adapters without a success in between indicate an outage of the weight store rather than a bad
 * adapter. The first load that succeeds after such an outage clears the backoff of all adapters.
 */
internal class LoadBackoff(private val options: SchedulerOptions, private val random: Random) {
    private class Failure(val count: Int, val retryAt: Long)

    private val failures = HashMap<AdapterVersion, Failure>()
    private val failedSinceSuccess = HashSet<AdapterVersion>()

    fun recordFailure(adapter: AdapterVersion, now: Long) {
        val count = (failures[adapter]?.count ?: 0) + 1
        val backoffMillis = options.loadBackoffMillis shl min(count - 1, MAX_DOUBLINGS)
        val jittered = min(backoffMillis, options.maxLoadBackoffMillis) * (HALF + random.nextDouble() * HALF)
        failures[adapter] = Failure(count, now + (jittered * NANOS_PER_MILLI).toLong())
        failedSinceSuccess += adapter
    }

    fun recordSuccess(adapter: AdapterVersion) {
        if (failedSinceSuccess.size >= MIN_OUTAGE_ADAPTERS) failures.clear() else failures.remove(adapter)
        failedSinceSuccess.clear()
    }

    fun isBackingOff(adapter: AdapterVersion, now: Long): Boolean = retryAt(adapter) > now

    fun retryAt(adapter: AdapterVersion): Long = failures[adapter]?.retryAt ?: Long.MIN_VALUE

    private companion object {
        const val MIN_OUTAGE_ADAPTERS = 3
        const val MAX_DOUBLINGS = 16
        const val HALF = 0.5
        const val NANOS_PER_MILLI = 1e6
    }
}
