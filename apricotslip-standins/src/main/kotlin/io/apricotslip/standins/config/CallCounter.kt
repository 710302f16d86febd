package io.apricotslip.standins.config

import kotlinx.serialization.Serializable
import java.time.Duration

private val window = Duration.ofSeconds(1).toNanos()

/** Calls counted by the configuration service. */
@Serializable
internal data class CallCounts(val total: Long, val refused: Long, val watches: Long, val maxPerSecond: Int)

/** Counts calls and limits them within each second. A waiting watch counts once, when it comes. */
internal class CallCounter(private val limit: Int) {
    private var total = 0L
    private var refused = 0L
    private var watches = 0L
    private var maxPerSecond = 0
    private var windowStart = 0L
    private var inWindow = 0

    /** Counts a call at [now] nanoseconds; false when it is over the limit. */
    fun admit(now: Long, isWatch: Boolean): Boolean {
        if (now - windowStart >= window) {
            windowStart = now
            inWindow = 0
        }
        total++
        inWindow++
        maxPerSecond = maxOf(maxPerSecond, inWindow)
        if (isWatch) watches++
        if (inWindow <= limit) return true
        refused++
        return false
    }

    /** What was counted so far. */
    fun counts(): CallCounts = CallCounts(total, refused, watches, maxPerSecond)
}
