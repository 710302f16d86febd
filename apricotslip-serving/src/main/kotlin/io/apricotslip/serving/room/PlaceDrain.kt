package io.apricotslip.serving.room

import io.apricotslip.serving.limit.SlidingSum
import kotlin.math.max
import kotlin.math.sqrt

/**
 * The rate at which the places of one node become free, and whether it is high enough for a request that waits.
 *
 * Workload: a node of a large fleet gives back a few places a second, so that the rate of the last seconds is rough.
 * The counts of the last seconds and those of the time left are taken as independent Poisson counts; the margin is in
 * standard deviations of their sum.
 */
internal class PlaceDrain {
    private val ends = SlidingSum(WINDOW_MILLIS, MAX_ENDS)

    /** Counts a place that was used and given back at [now]. */
    fun record(now: Long) = ends.add(1.0, now)

    /**
     * Whether [places] places may become free within [millis], besides those for more urgent requests, of which
     * [urgentPerSecond] arrive. Places become free as often as in the last seconds, and [leastPerSecond] at least.
     */
    fun suffices(places: Int, millis: Long, leastPerSecond: Double, urgentPerSecond: Double, now: Long): Boolean {
        val samples = ends.at(now)
        if (samples < MIN_SAMPLES) return true
        val seconds = max(0L, millis) / MILLIS_PER_SECOND
        val free = max(samples * MILLIS_PER_SECOND / WINDOW_MILLIS, leastPerSecond) * seconds
        val taken = urgentPerSecond * seconds
        // The rates come from one window, so their error grows with the square of the time that they are applied to.
        val variance = (free + taken) * (1 + seconds * MILLIS_PER_SECOND / WINDOW_MILLIS)
        return places <= free - taken + DEVIATIONS * sqrt(variance)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Must be the window of the arrivals of [RankDemand], since both are taken as equally rough. */
        const val WINDOW_MILLIS = 4_000L
        const val MAX_ENDS = 4_000

        /** Fewer tell too little to refuse a request. */
        const val MIN_SAMPLES = 8.0

        /**
         * With 0.5 the in-time share of the least urgent rank of the replay falls below that without early refusals;
         * with 1.5 the late refusals are a third more than with 1 (means of five seeds).
         */
        const val DEVIATIONS = 1.0
    }
}
