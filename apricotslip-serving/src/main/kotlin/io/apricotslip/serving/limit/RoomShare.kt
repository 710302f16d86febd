package io.apricotslip.serving.limit

import kotlin.math.floor
import kotlin.random.Random

/**
 * This node's share of the places of one backend server that has said that it is brittle: it falls over when it has to
 * turn away more than a few requests a second.
 *
 * Workload: more callers than places. Requests that wait at the server would be answered sooner or later, but those
 * for which its queue has no room bring it down. So all nodes together let as many requests run as it has places and
 * none wait there. What other nodes run is known too late for that, as a request may be shorter than the interval of
 * reports: each node keeps to the part of the places that is its part of the requests, and draws for a fraction of a
 * place. It takes a larger part only after a while, as a node that was silent may come back to the part that it had.
 */
public class RoomShare(private val random: Random = Random.Default) {
    private var statedAt = Long.MIN_VALUE / 2
    private val lowestFractions = ArrayDeque<Pair<Long, Double>>()
    private var namedSince = Long.MIN_VALUE / 2
    private var drawn = 0.0
    private var drawnUntil = Long.MIN_VALUE / 2
    private var withheld = 0

    /** Requests a second that the server can turn away; null while it does not say that it is brittle. */
    public var maxRejectionsPerSecond: Int? = null
        private set

    /** Whether the server says that it is brittle. */
    public val isBrittle: Boolean
        get() = maxRejectionsPerSecond != null

    /** Whether the server has said so since its start. */
    public var everNamed: Boolean = false
        private set

    /** Time of the last statement of the server. */
    public fun statementAt(): Long = statedAt

    /**
     * Applies a statement of the server at [at]: what it can turn away, or null when it is not brittle. Older ones are
     * ignored. Returns whether it changed.
     */
    public fun recordStatement(rejectionsPerSecond: Int?, at: Long): Boolean {
        if (at <= statedAt) return false
        statedAt = at
        if (rejectionsPerSecond != null) everNamed = true
        if (rejectionsPerSecond == maxRejectionsPerSecond) return false
        if (maxRejectionsPerSecond == null) namedSince = at
        maxRejectionsPerSecond = rejectionsPerSecond
        drawnUntil = at
        return true
    }

    /** Records that the server turned a request of this node away at [now]: another node has taken the place. */
    public fun recordRejection(now: Long) {
        if (!isBrittle) return
        withheld++
        // Nodes draw at slightly different times: one that draws anew at once may be turned away once more.
        drawnUntil = now + DRAW_MILLIS
    }

    /** Whether this node may send one more request to the server with [places], where it has [running] ones. */
    public fun available(places: Int, running: Int, share: TrafficShare, now: Long): Boolean {
        val rejections = maxRejectionsPerSecond ?: return true
        if (now >= drawnUntil) draw(now)
        val own = places * fraction(share, now)
        val whole = floor(own)
        val extra = if (drawn < (own - whole) * drawnPart(rejections, share.nodes)) 1 else 0
        return running < whole + extra - withheld
    }

    /** The lowest part of the requests that this node had within [MEMORY_MILLIS]; an equal one until that is known. */
    private fun fraction(share: TrafficShare, now: Long): Double {
        while (lowestFractions.lastOrNull().let { it != null && it.second >= share.fraction }) {
            lowestFractions.removeLast()
        }
        lowestFractions.addLast(now to share.fraction)
        while (lowestFractions.first().first < now - MEMORY_MILLIS) lowestFractions.removeFirst()
        val lowest = lowestFractions.first().second
        return if (now - namedSince < MEMORY_MILLIS) minOf(lowest, 1.0 / share.nodes) else lowest
    }

    /** Draws are independent, so that more nodes than there are places may win: the more nodes, the more often. */
    private fun drawnPart(rejections: Int, nodes: Int) = when {
        rejections < MIN_TOLERATED_REJECTIONS -> CAREFUL_DRAWN_PART
        nodes <= FEW_NODES -> DRAWN_PART_OF_FEW
        else -> DRAWN_PART
    }

    private fun draw(now: Long) {
        drawn = random.nextDouble()
        drawnUntil = now + DRAW_MILLIS
        withheld = 0
    }

    private companion object {
        /** Two nodes more than there are places win a draw now and then, and each costs a rejection. */
        const val MIN_TOLERATED_REJECTIONS = 3
        const val FEW_NODES = 12

        /** Shares are the lowest of a while already, so that little more need be left out. */
        const val DRAWN_PART_OF_FEW = 1.0
        const val DRAWN_PART = 0.65
        const val CAREFUL_DRAWN_PART = 0.5

        /** Longer than nodes are frozen or restart; their places stay free for them. */
        const val MEMORY_MILLIS = 5_000L

        /** A draw that too many have won costs each of them a rejection, so draws are rare. */
        const val DRAW_MILLIS = 2_000L
    }
}
