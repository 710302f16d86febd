package io.apricotslip.serving.limit

import kotlin.math.sqrt
import kotlin.random.Random

/**
 * This node's share of the limit that one backend server names: the requests a second that it takes from all nodes.
 *
 * Each node takes the part of the limit that corresponds to its part of the requests. With few nodes each one collects
 * whole permits. When more nodes than that share a low limit, a permit of each would be a burst; a node then draws for
 * its fraction of a permit, so that all nodes together get the limit on average and nothing is collected.
 */
public class RequestLimit(private val random: Random = Random.Default) {
    private var statedAt = Long.MIN_VALUE / 2
    private var credit = 0.0
    private var creditAt = 0L
    private var wonUntil = Long.MIN_VALUE / 2

    /** The limit in force, in requests a second; null when the server names none. */
    public var perSecond: Double? = null
        private set

    /** Whether the server has named a limit since its start. */
    public var everNamed: Boolean = false
        private set

    /**
     * Applies a statement of the server at [at]: the limit that it named, or null when it answered without naming one.
     * Older statements, and limits that are no rate, are ignored. Returns whether the limit changed.
     */
    public fun recordStatement(limit: Double?, at: Long, now: Long): Boolean {
        if (at <= statedAt || !isRate(limit)) return false
        statedAt = at
        if (limit != null) everNamed = true
        if (limit == perSecond) return false
        if (perSecond == null) {
            credit = 0.0
            creditAt = now
        }
        perSecond = limit
        return true
    }

    private fun isRate(limit: Double?) = limit == null || (limit.isFinite() && limit >= 0)

    /** Time of the last statement of the server. */
    public fun statementAt(): Long = statedAt

    /** Whether this node may send a request to the server at [now]. */
    public fun available(share: TrafficShare, now: Long): Boolean {
        val limit = perSecond ?: return true
        if (now < wonUntil) return true
        if (burst(limit, share) < 1) return draw(limit, share, now)
        collect(limit, share, now)
        return credit >= 1
    }

    /** Uses a permit; [available] must have returned true at the same time. */
    public fun take(now: Long) {
        if (perSecond == null) return
        if (now < wonUntil) wonUntil = now else credit -= 1
    }

    /** Returns a permit that was taken for a request that was not sent in the end. */
    public fun refund(now: Long) {
        if (perSecond != null) wonUntil = now + MAX_DRAW_MILLIS
    }

    /** Requests a second that this node may send on average; null without a limit. */
    public fun ownRate(share: TrafficShare): Double? = perSecond?.let { rate(it, share) }

    /** The permits that this node may collect: its part of the requests that the server tolerates at once. */
    private fun burst(limit: Double, share: TrafficShare): Double {
        val burst = limit * WINDOW_SECONDS * (TOLERATED_RATIO - 1) + TOLERATED_REQUESTS - 1
        return burst / share.nodes
    }

    private fun rate(limit: Double, share: TrafficShare): Double =
        share.fraction * if (burst(limit, share) < 1) drawnRate(limit) else limit

    /**
     * The rate of drawn permits, which are independent of each other: their mean number in a window plus
     * [DRAWN_DEVIATIONS] standard deviations is what the server tolerates in it.
     */
    private fun drawnRate(limit: Double): Double {
        val tolerated = limit * WINDOW_SECONDS * TOLERATED_RATIO + TOLERATED_REQUESTS
        val halfDeviations = DRAWN_DEVIATIONS / 2
        val root = sqrt(halfDeviations * halfDeviations + tolerated) - halfDeviations
        return minOf(limit, root * root / WINDOW_SECONDS)
    }

    private fun collect(limit: Double, share: TrafficShare, now: Long) {
        credit = minOf(burst(limit, share), credit + rate(limit, share) * (now - creditAt) / MILLIS_PER_SECOND)
        creditAt = now
    }

    private fun draw(limit: Double, share: TrafficShare, now: Long): Boolean {
        val elapsed = minOf(now - creditAt, MAX_DRAW_MILLIS)
        creditAt = now
        credit = 0.0
        if (random.nextDouble() >= rate(limit, share) * elapsed / MILLIS_PER_SECOND) return false
        wonUntil = now + MAX_DRAW_MILLIS
        return true
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** What a server tolerates in a window, per the platform's specification. */
        const val WINDOW_SECONDS = 4.0
        const val TOLERATED_RATIO = 1.5
        const val TOLERATED_REQUESTS = 5.0

        /** More than this is less likely than one in a million windows. */
        const val DRAWN_DEVIATIONS = 6.0

        /** A fraction of a permit or a drawn one that is not used within this time lapses. */
        const val MAX_DRAW_MILLIS = 500L
    }
}
