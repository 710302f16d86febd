package io.apricotslip.serving.room

import io.apricotslip.serving.limit.TrafficShare
import io.apricotslip.serving.workspace.RequestRank
import java.util.TreeMap
import kotlin.math.max

/**
 * How many requests this node may have at the servers of one service, and which ranks may use them.
 *
 * Workload: all nodes together have more requests than the servers have places. A node takes the part of the places
 * that is its part of the fleet's requests, and the same part of what the others left free when they last reported. It
 * keeps the places free that more urgent ranks need by their arrivals of the last seconds. An urgent request may exceed
 * the limit, as less urgent work yields until the limit holds again: otherwise a few of them that arrive together at
 * one node wait there while other nodes have no use for their places. For the same reason a fraction of a place counts
 * as a whole one.
 */
public class RoomBudget {
    private val ranks = TreeMap<RequestRank, RankDemand>()
    private var places = 0.0
    private var part = 1.0
    private var lent = 0.0
    private val hold = MeanHold()
    private val answers = AnswerTime()
    private val drain = PlaceDrain()

    /** Requests of this node that have a place. */
    public val running: Int
        get() = ranks.values.sumOf { it.running }

    /** Places of this node, as a rule no whole number. */
    public val limit: Double
        get() = max(places * part, lent)

    /** Time before its answer is due at which a request must be sent, in milliseconds; null if that is not known. */
    public val answerMillis: Double?
        get() = answers.millis

    /** Mean time that a request keeps its place, in milliseconds; null if none has ended. */
    public val holdMillis: Double?
        get() = hold.measuredMillis

    /** Requests a second that arrived in the last seconds. */
    public fun arrivalsPerSecond(now: Long): Double = ranks.values.sumOf { it.arrivalsPerSecond(now) }

    /** The shortest time lately that a request kept its place, which is its work without a queue; null if unknown. */
    public fun workMillis(now: Long): Double? = hold.shortest(now)

    /**
     * Applies that all servers together have [places], of which other nodes used [others], and that this node gets
     * [share] of the requests for the service.
     */
    public fun update(places: Double, others: Int, share: TrafficShare) {
        this.places = places
        part = max(share.fraction, 1.0 / share.nodes)
        // Figures that are too old are dropped, which looks as if the others had no work.
        lent = if (others > 0) running + part * (places - others - running) else 0.0
    }

    /** Counts a request of [rank] that arrived at [now]. */
    public fun recordArrival(rank: RequestRank, now: Long): Unit = demand(rank).recordArrival(now)

    /** Counts a request of [rank] that got a place. */
    public fun recordStart(rank: RequestRank) {
        demand(rank).running++
    }

    /** Records that an answer began [millis] after its request was sent. */
    public fun recordAnswer(millis: Long): Unit = answers.record(millis)

    /** Counts a request of [rank] that gave its place back at [now], after [heldMillis]; null if it was not used. */
    public fun recordEnd(rank: RequestRank, heldMillis: Long?, now: Long) {
        val demand = demand(rank)
        demand.running--
        if (heldMillis == null) return
        demand.recordHold(heldMillis)
        hold.record(heldMillis, now)
        drain.record(now)
    }

    /** Whether a request of [rank] may have a place at [now]. */
    public fun available(rank: RequestRank, now: Long): Boolean =
        running + reservedFor(rank, now) < limit + borrowedBy(rank, now)

    /**
     * Whether a request of [rank] that begins to wait at [now] behind [ahead] others may get a place before [startBy],
     * as far as the rate at which places become free tells.
     */
    public fun mayStart(rank: RequestRank, ahead: Int, startBy: Long, now: Long): Boolean = drain.suffices(
        places = ahead + 1,
        millis = startBy - now,
        leastPerSecond = max(1.0, limit) / max(1.0, hold.millis) * MILLIS_PER_SECOND,
        urgentPerSecond = urgentPerSecond(rank, now),
        now = now,
    )

    /** Places a second that become free for [rank]: what more urgent ranks need is taken off. */
    public fun startsPerSecond(rank: RequestRank, now: Long): Double {
        val all = limit / max(1.0, hold.millis) * MILLIS_PER_SECOND
        return max(0.0, all - urgentPerSecond(rank, now))
    }

    private fun urgentPerSecond(rank: RequestRank, now: Long) =
        ranks.headMap(rank).values.sumOf { it.arrivalsPerSecond(now) }

    /** Places kept free for ranks that are more urgent than [rank]. */
    private fun reservedFor(rank: RequestRank, now: Long): Double {
        val urgent = ranks.headMap(rank).values
        return max(0.0, needed(urgent, now) - urgent.sumOf { it.running })
    }

    /** Places above the limit that a request of [rank] may use, by what less urgent ranks need. */
    private fun borrowedBy(rank: RequestRank, now: Long): Double {
        val less = needed(ranks.tailMap(rank, false).values, now)
        return if (less == 0.0) 0.0 else limit * BORROWED_SHARE * less / needed(ranks.values, now)
    }

    private fun needed(some: Collection<RankDemand>, now: Long) = some.sumOf { it.neededPlaces(now, hold.millis) }

    private fun demand(rank: RequestRank) = ranks.getOrPut(rank, ::RankDemand)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** More of it helps the most urgent rank little and makes engines preempt. */
        const val BORROWED_SHARE = 0.5
    }
}
