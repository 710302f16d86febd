package io.apricotslip.serving.fleet

import kotlin.math.max
import kotlin.math.min

/**
 * Health of one backend server as the requests of this node show it.
 *
 * A server with consecutive failures is avoided for a time that doubles with each failure; one whose failures exceed
 * [GREY_SHARE] of its answers is used only when no other is left.
 */
public class ServerHealth {
    private var failureShare = 0.0
    private var pauseMillis = 0L

    /** Time until which the server is avoided. */
    public var backoffUntil: Long = 0
        private set

    /** Time of the last byte from the server. */
    public var lastHeardAt: Long = 0
        private set

    /** Whether the server fails so often that others go first. */
    public val degraded: Boolean
        get() = failureShare > GREY_SHARE

    /** Whether the server may be used at [now]. */
    public fun usable(now: Long): Boolean = now >= backoffUntil

    /** Takes note of bytes from the server. */
    public fun recordBytes(now: Long) {
        lastHeardAt = now
    }

    /** Takes note of a whole answer that the server made itself. */
    public fun recordSuccess(now: Long) {
        lastHeardAt = now
        pauseMillis = 0
        failureShare *= 1 - WEIGHT
    }

    /** Takes note of an answer that says or shows that the request failed at the server. */
    public fun recordFailure() {
        failureShare = failureShare * (1 - WEIGHT) + WEIGHT
    }

    /** Takes note that the server could not be reached, or was silent. */
    public fun recordUnreachable(now: Long) {
        recordFailure()
        pauseMillis = min(max(FIRST_PAUSE_MILLIS, pauseMillis * 2), LONGEST_PAUSE_MILLIS)
        backoffUntil = now + pauseMillis
    }

    private companion object {
        /** Weight of one answer in the share of failures: about the last ten answers count. */
        const val WEIGHT = 0.1

        /** Above the share of 500 answers that sound booking servers give on the deployments' sheets (0.14). */
        const val GREY_SHARE = 0.3

        /** About the time in which a crashed server is seen again or taken off the list. */
        const val FIRST_PAUSE_MILLIS = 300L

        /** Short against the 4 s that a crashed server stays away on the deployments' days. */
        const val LONGEST_PAUSE_MILLIS = 1_500L
    }
}
