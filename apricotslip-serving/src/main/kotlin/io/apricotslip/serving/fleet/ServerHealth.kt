package io.apricotslip.serving.fleet

import kotlin.math.max
import kotlin.math.min

/**
 * Health of one backend server, judged by the requests of this node.
 *
 * A server that cannot be reached is in backoff for a time that doubles with each consecutive failure. One whose
 * failure ratio exceeds [DEGRADED_FAILURE_RATIO] is degraded (a gray failure) and used only when no other is left.
 */
public class ServerHealth {
    private var failureRatio = 0.0
    private var backoffMillis = 0L

    /** Time until which the server is in backoff. */
    public var backoffUntil: Long = 0
        private set

    /** Time of the last byte received from the server. */
    public var lastHeardAt: Long = 0
        private set

    /** Whether the server fails so often that other servers are preferred. */
    public val degraded: Boolean
        get() = failureRatio > DEGRADED_FAILURE_RATIO

    /** Whether the server is out of backoff at [now]. */
    public fun usable(now: Long): Boolean = now >= backoffUntil

    /** Records that bytes arrived from the server. */
    public fun recordBytes(now: Long) {
        lastHeardAt = now
    }

    /** Records a complete answer that the server itself produced; resets the failure backoff. */
    public fun recordSuccess(now: Long) {
        lastHeardAt = now
        backoffMillis = 0
        failureRatio *= 1 - SMOOTHING_FACTOR
    }

    /** Records an answer or outcome that shows that the request failed at the server. */
    public fun recordFailure() {
        failureRatio = failureRatio * (1 - SMOOTHING_FACTOR) + SMOOTHING_FACTOR
    }

    /** Ends the backoff: the failures were those of the links of this node. */
    public fun endBackoff() {
        backoffMillis = 0
        backoffUntil = 0
    }

    /** Records that the server could not be reached or was silent, and starts a backoff. */
    public fun recordUnreachable(now: Long) {
        recordFailure()
        backoffMillis = min(max(INITIAL_BACKOFF_MILLIS, backoffMillis * 2), MAX_BACKOFF_MILLIS)
        backoffUntil = now + backoffMillis
    }

    private companion object {
        /** Averages over about the last ten answers. */
        const val SMOOTHING_FACTOR = 0.1

        /** Above the share of 500 answers that healthy booking servers give in the deployment profiles (0.14). */
        const val DEGRADED_FAILURE_RATIO = 0.3

        /** About the time until a crashed server is seen again or removed from the list. */
        const val INITIAL_BACKOFF_MILLIS = 300L

        /** Short compared with the 4 s for which a crashed server stays down in the deployments. */
        const val MAX_BACKOFF_MILLIS = 1_500L
    }
}
