package io.apricotslip.serving.limit

import kotlin.math.roundToInt

/**
 * Measures which part of the fleet's requests this node receives.
 *
 * Callers are spread unevenly over the nodes, so that equal shares of a limit would be too large for some nodes and too
 * small for others.
 */
public class TrafficMeter {
    private val arrivals = SlidingSum(WINDOW_MILLIS, MAX_ARRIVALS)
    private val sizes = ArrayDeque<Pair<Long, Int>>()
    private var fleetRequests = 0

    /** Counts a request of a caller. */
    public fun recordRequest(now: Long): Unit = arrivals.add(1.0, now)

    /** Records that the fleet has [nodes] nodes, which received [requests] in their windows, this node included. */
    public fun recordFleet(nodes: Int, requests: Int, now: Long) {
        fleetRequests = requests
        while (sizes.isNotEmpty() && sizes.last().second <= nodes) sizes.removeLast()
        sizes.addLast(now to nodes)
        while (sizes.first().first < now - SIZE_MEMORY_MILLIS) sizes.removeFirst()
    }

    /** Requests that this node received within the window that ends at [now]. */
    public fun ownRequests(now: Long): Int = arrivals.at(now).roundToInt()

    /** Requests a second that this node received within the window that ends at [now]. */
    public fun requestsPerSecond(now: Long): Double = ownRequests(now) * MILLIS_PER_SECOND / WINDOW_MILLIS

    /** The share of this node at [now]. */
    public fun share(now: Long): TrafficShare {
        val nodes = maxOf(1, sizes.firstOrNull()?.second ?: 1)
        val own = ownRequests(now)
        val all = maxOf(fleetRequests, own)
        return TrafficShare(nodes, if (all == 0) 1.0 / nodes else own.toDouble() / all)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Long enough for a steady share, short enough to follow callers that move to other nodes. */
        const val WINDOW_MILLIS = 4_000L

        /** A node that was cut off or frozen may still use its share. */
        const val SIZE_MEMORY_MILLIS = 10_000L

        /** Bounds the memory; far more than a node receives within the window. */
        const val MAX_ARRIVALS = 10_000
    }
}
