package io.apricotslip.serving.retry

/**
 * This node's share of the retry budget of one service.
 *
 * Within a window the fleet may retry [ratio] of the requests, plus [slack] more. Each node takes [ratio] of the
 * requests that it received itself and its share of the slack, so that the total keeps the bound without coordination
 * per request.
 */
public class RetryBudget(private val ratio: Double, private val slack: Double, private val windowMillis: Long) {
    private val requests = ArrayDeque<Long>()
    private val retries = ArrayDeque<Long>()

    /** Counts a request of a caller. */
    public fun recordRequest(now: Long) {
        requests.addLast(now)
        trim(now)
    }

    /** Whether a retry is left at [now] with [nodes] nodes in the fleet. */
    public fun available(now: Long, nodes: Int): Boolean {
        trim(now)
        return retries.size + 1 <= (ratio * requests.size + slack / nodes) * USABLE_SHARE
    }

    /** Takes one retry from the budget at [now]; returns false when none is left. */
    public fun tryAcquire(now: Long, nodes: Int): Boolean {
        if (!available(now, nodes)) return false
        retries.addLast(now)
        return true
    }

    private fun trim(now: Long) {
        while (requests.isNotEmpty() && requests.first() <= now - windowMillis) requests.removeFirst()
        while (retries.isNotEmpty() && retries.first() <= now - windowMillis) retries.removeFirst()
    }

    private companion object {
        /** Share of the budget that is used: a restarted node forgets the retries that it made. */
        const val USABLE_SHARE = 0.7
    }
}
