package io.apricotslip.wire.link

import kotlin.random.Random

/**
 * Exponential backoff: delays start at [firstMillis] and double with each failure up to [maxMillis]. Each
 * delay varies randomly by up to the fraction [jitter] either way.
 */
internal class Backoff(
    private val firstMillis: Long,
    private val maxMillis: Long,
    private val jitter: Double,
    private val random: Random,
) {
    private var baseMillis = firstMillis

    /** Returns the delay before the next attempt and doubles the one after it. */
    fun nextDelayMillis(): Long {
        val delayMillis = baseMillis
        baseMillis = minOf(baseMillis * 2, maxMillis)
        return (delayMillis * (1.0 + jitter * (2.0 * random.nextDouble() - 1.0))).toLong()
    }

    /** Starts again at [firstMillis]; called after a successful attempt. */
    fun reset() {
        baseMillis = firstMillis
    }
}
