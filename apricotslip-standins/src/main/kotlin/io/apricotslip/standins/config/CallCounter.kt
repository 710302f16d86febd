package io.apricotslip.standins.config

import kotlinx.serialization.Serializable
import java.time.Duration

private val windowNanos = Duration.ofSeconds(1).toNanos()

/**
 * Call statistics of the configuration service. [total] includes the [refused] calls, and [maxPerSecond] is the
 * highest number of calls in one window of a second, refused ones included.
 */
@Serializable
internal data class CallCounts(val total: Long, val refused: Long, val watches: Long, val maxPerSecond: Int)

/**
 * Counts calls and admits at most [maxCallsPerSecond] in each fixed window of one second. A watch counts once, on
 * arrival, however long it waits.
 */
internal class CallCounter(private val maxCallsPerSecond: Int) {
    private var total = 0L
    private var refused = 0L
    private var watches = 0L
    private var maxPerSecond = 0
    private var windowStartNanos = 0L
    private var callsInWindow = 0

    /** Counts a call that arrives at [nowNanos]; returns false if it exceeds the limit. */
    fun admit(nowNanos: Long, isWatch: Boolean): Boolean {
        if (nowNanos - windowStartNanos >= windowNanos) {
            windowStartNanos = nowNanos
            callsInWindow = 0
        }
        total++
        callsInWindow++
        maxPerSecond = maxOf(maxPerSecond, callsInWindow)
        if (isWatch) watches++
        if (callsInWindow <= maxCallsPerSecond) return true
        refused++
        return false
    }

    /** Snapshot of the counters. */
    fun counts(): CallCounts = CallCounts(total, refused, watches, maxPerSecond)
}
