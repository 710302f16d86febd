package io.apricotslip.serving.retry

/**
 * Share of this node in the budget of one service for sending requests again.
 *
 * The fleet may send [ratio] of the requests of a window again, and [slack] more. Each node takes [ratio] of the
 * requests
 * that it took itself and its part of the slack, so that the sum keeps the bound without talk for each request.
 */
public class RetryBudget(private val ratio: Double, private val slack: Double, private val windowMillis: Long) {
    private val requests = ArrayDeque<Long>()
    private val repeats = ArrayDeque<Long>()

    /** Counts a request of a caller. */
    public fun recordRequest(now: Long) {
        requests.addLast(now)
        trim(now)
    }

    /** Whether a repeat is left at [now] with [nodes] nodes in the fleet. */
    public fun available(now: Long, nodes: Int): Boolean {
        trim(now)
        return repeats.size + 1 <= (ratio * requests.size + slack / nodes) * SAFETY
    }

    /** Takes one repeat at [now]; false when none is left. */
    public fun tryAcquire(now: Long, nodes: Int): Boolean {
        if (!available(now, nodes)) return false
        repeats.addLast(now)
        return true
    }

    private fun trim(now: Long) {
        while (requests.isNotEmpty() && requests.first() <= now - windowMillis) requests.removeFirst()
        while (repeats.isNotEmpty() && repeats.first() <= now - windowMillis) repeats.removeFirst()
    }

    private companion object {
        /** Part of the budget that is used: restarted nodes forget what they took. */
        const val SAFETY = 0.7
    }
}
