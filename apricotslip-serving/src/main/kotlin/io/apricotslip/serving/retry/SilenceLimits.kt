package io.apricotslip.serving.retry

import kotlin.math.max

/**
 * How long a backend server may be silent about one request before the request is taken elsewhere, if it can go on.
 *
 * Workload: many nodes share each engine, so that a node often has a single request there. It then hears nothing while
 * that request waits for its turn, although the engine is sound, and cutting the request off would add to the load.
 *
 * @param targetLatencyMillis latency objective of the route.
 * @param targetGapMillis longest gap between events that is on time; 0 for routes without streams.
 */
public class SilenceLimits(private val targetLatencyMillis: Long, private val targetGapMillis: Long) {
    /** Longest silence until the first byte of an answer that is expected after [estimateMillis]. */
    public fun beforeFirstByte(estimateMillis: Long): Long =
        if (targetGapMillis == 0L) MIN_LIMIT_MILLIS else max(MIN_LIMIT_MILLIS, 2 * estimateMillis + targetLatencyMillis)

    /** Longest silence between two bytes of an answer. */
    public val betweenBytes: Long = max(MIN_LIMIT_MILLIS, GAPS_PER_SILENCE * targetGapMillis)

    /** Longest time between two complete events while bytes arrive; a stream beyond it is stalled, not slow. */
    public val betweenEvents: Long =
        max(MIN_ABANDON_MILLIS, max(ABANDON_LATENCIES * targetLatencyMillis, ABANDON_GAPS * targetGapMillis))

    private companion object {
        /** Many times the pause between events of an engine in its usual pace. */
        const val MIN_LIMIT_MILLIS = 900L

        /** A gap that is this much too long is no gap of a slow engine; a lost connection and a pause look the same. */
        const val GAPS_PER_SILENCE = 6

        /** Callers give a stream up after the longest of these, per the platform's specification. */
        const val MIN_ABANDON_MILLIS = 2_000L
        const val ABANDON_LATENCIES = 4
        const val ABANDON_GAPS = 8
    }
}
