package io.apricotslip.wire.link

import kotlin.random.Random

/** Delays between attempts: [firstMillis], doubling with each failure up to [maxMillis], with jitter. */
internal class Backoff(
    private val firstMillis: Long,
    private val maxMillis: Long,
    private val jitter: Double,
    private val random: Random,
) {
    private var millis = firstMillis

    /** Delay before the next attempt. */
    fun next(): Long {
        val delay = millis
        millis = minOf(millis * 2, maxMillis)
        return (delay * (1.0 + jitter * (2.0 * random.nextDouble() - 1.0))).toLong()
    }

    /** An attempt succeeded. */
    fun reset() {
        millis = firstMillis
    }
}
