package io.apricotslip.serving.room

import io.apricotslip.api.id.WorkspaceId
import io.apricotslip.serving.workspace.RequestRank

/**
 * The requests of one node that wait for a place at the servers of one service.
 *
 * Workload: requests of several ranks from workspaces of unequal size compete for fewer places than they need. The most
 * urgent rank goes first; within a rank, a workspace that lately started more than its part yields to the others, then
 * a request that returned when it was told to goes before a new one, then the one with the least time left. So a
 * request that is larger or needs a rarer adapter overtakes others as its time runs out.
 *
 * @param maxRequests requests that may wait; beyond, the last in the order is refused.
 * @param maxBytes memory that the waiting requests may occupy.
 */
public class RoomQueue<T>(
    private val maxRequests: Int = DEFAULT_MAX_REQUESTS,
    private val maxBytes: Long = DEFAULT_MAX_BYTES,
) {
    /** A waiting request; [item] is what the caller of the queue knows it by. */
    public class Ticket<T> internal constructor(
        public val item: T,
        public val request: RoomRequest,
        public val offeredAt: Long,
        internal val number: Long,
    ) {
        /** Time before which it is passed over, because no server had a place that suits it. */
        public var notBefore: Long = Long.MIN_VALUE
            internal set

        internal var counted = false
    }

    private val waiting = ArrayList<Ticket<T>>()
    private val starts = WorkspaceStarts()
    private var lastNumber = 0L

    /** Memory that the waiting requests occupy. */
    public var bytes: Long = 0
        private set

    public val size: Int
        get() = waiting.size

    /** The waiting requests, in no particular order. */
    public val items: List<T>
        get() = waiting.map { it.item }

    /** Lets [request] wait as [item]; returns the tickets that must be refused because the queue is full. */
    public fun offer(item: T, request: RoomRequest, now: Long): List<Ticket<T>> {
        put(Ticket(item, request, now, lastNumber++))
        val displaced = ArrayList<Ticket<T>>()
        while (waiting.size > maxRequests || bytes > maxBytes) {
            val last = waiting.maxWith(order(now))
            take(last)
            displaced += last
        }
        return displaced
    }

    /** Lets [ticket], which got a place but found no server, wait again until [notBefore] at least. */
    public fun putBack(ticket: Ticket<T>, notBefore: Long) {
        ticket.notBefore = notBefore
        put(ticket)
    }

    /**
     * Takes the request that is sent next at [now]; null when none is to be sent. [available] tells whether there is a
     * place for a rank; a rank that has none keeps all less urgent ones back.
     */
    public fun next(now: Long, available: (rank: RequestRank) -> Boolean): Ticket<T>? {
        val first = waiting.filter { it.notBefore <= now }.minWithOrNull(order(now)) ?: return null
        if (!available(first.request.rank)) return null
        take(first)
        if (!first.counted) {
            first.request.workspace?.let {
                starts.record(first.request.rank, it, first.request.weight, now)
            }
        }
        first.counted = true
        return first
    }

    /** Takes the requests that can't be answered within their objective any more. */
    public fun expire(now: Long): List<Ticket<T>> = waiting.filter { it.request.startBy <= now }.onEach(::take)

    /** Takes the request known as [item], whose caller has left or that has been ended. */
    public fun remove(item: T): Boolean {
        val ticket = waiting.find { it.item === item } ?: return false
        take(ticket)
        return true
    }

    /** Number of waiting requests that precede [item] in the order; null when it does not wait. */
    public fun countAhead(item: T, now: Long): Int? {
        val ticket = waiting.find { it.item === item } ?: return null
        val order = order(now)
        return waiting.count { order.compare(it, ticket) < 0 }
    }

    /** The next time at which a waiting request expires or is no longer passed over; null when there is none. */
    public fun nextChangeAt(now: Long): Long? =
        waiting.minOfOrNull { if (it.notBefore > now) minOf(it.notBefore, it.request.startBy) else it.request.startBy }

    private fun put(ticket: Ticket<T>) {
        waiting += ticket
        bytes += ticket.request.bytes
    }

    private fun take(ticket: Ticket<T>) {
        waiting.remove(ticket)
        bytes -= ticket.request.bytes
    }

    private fun waitingWeights(rank: RequestRank): Map<WorkspaceId, Double> {
        val weights = HashMap<WorkspaceId, Double>()
        for (ticket in waiting) {
            val request = ticket.request
            if (request.rank == rank) request.workspace?.let { weights[it] = request.weight }
        }
        return weights
    }

    private fun order(now: Long): Comparator<Ticket<T>> {
        val over = HashMap<Pair<RequestRank, WorkspaceId>, Boolean>()
        fun exceeds(request: RoomRequest): Boolean {
            val workspace = request.workspace ?: return false
            return over.getOrPut(request.rank to workspace) {
                starts.exceedsPart(request.rank, workspace, now, waitingWeights(request.rank))
            }
        }
        return compareBy<Ticket<T>>({ it.request.rank }, { exceeds(it.request) }, { !it.request.returning })
            .thenBy { it.request.startBy }.thenBy { it.number }
    }

    private companion object {
        /** Several seconds of the requests that a node of the busiest deployment receives. */
        const val DEFAULT_MAX_REQUESTS = 256
        const val DEFAULT_MAX_BYTES = 16_000_000L
    }
}
