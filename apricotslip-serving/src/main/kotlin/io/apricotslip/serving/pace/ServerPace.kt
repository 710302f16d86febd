package io.apricotslip.serving.pace

import io.apricotslip.serving.fleet.ServerUtilization
import io.apricotslip.serving.limit.TrafficShare
import kotlin.math.floor
import kotlin.random.Random

/**
 * The adaptive concurrency limit of one incarnation of one backend server that has just started or recovered: how many
 * requests of all nodes may be in flight there.
 *
 * Workload: many nodes find a server at the same moment, when it has nothing in flight and so looks best to all of
 * them, while its caches are cold or its adapters are not loaded. The limit starts at a small part of the slots, grows
 * by responses on time, each of which raises it by a few requests, and shrinks by late ones, refusals and
 * failures. It ends at the slots of the server; from then on, and where it never began, nothing is limited.
 *
 * All nodes together keep to it by their parts of the requests, and draw for a fraction of a request. The evidence of
 * all nodes comes with their reports ([takeEvidence], [applyReport]), and the limit with the digests ([applyDigest]).
 *
 * @param slots requests that the server runs at a time, by its entry.
 */
public class ServerPace(private val random: Random = Random.Default, private val slots: () -> Int) {
    private class Growth(var limit: Double) {
        var unreported = PaceEvidence()
        var meanPromptTokens = 0.0
        var drawn = 1.0
        var drawnUntil = Long.MIN_VALUE / 2
        var shrinkFloor = 0.0
        var shrinkUntil = Long.MIN_VALUE / 2
    }

    private var growth: Growth? = null
    private var endedAt = Long.MIN_VALUE / 2
    private var lateRatio = 0.0

    /** Number of the last limit: 0 for that of the start, one more for each recovery, [NONE] before the first. */
    public var number: Int = NONE
        private set

    /** Whether the server has a limit, which is still growing. */
    public val growing: Boolean
        get() = growth != null

    /** Whether the last limit ended a short while ago, so that other nodes may still have it at [now]. */
    public fun endedLately(now: Long): Boolean = growth == null && now - endedAt < ENDED_TTL_MILLIS

    /** Begins a limit, at the start of the server or its recovery; has no effect while there is one. */
    public fun begin() {
        if (growth == null) begin(number + 1, initialLimit())
    }

    /** The limit in requests of all nodes; null when the server has its full share. */
    public fun limit(): Double? = growth?.limit

    /**
     * Whether this node may send one more request at [now] within the limit.
     *
     * @param own work of this node at the server.
     * @param total work of all nodes there, as far as known.
     */
    public fun available(own: ServerUtilization, total: ServerUtilization, share: TrafficShare, now: Long): Boolean {
        val growth = growth ?: return true
        if (total.running + 1 > growth.limit) return false
        if (now >= growth.drawnUntil) {
            growth.drawn = random.nextDouble()
            growth.drawnUntil = now + if (total.running == 0) IDLE_DRAW_MILLIS else DRAW_MILLIS
        }
        val part = growth.limit * share.fraction
        val whole = floor(part)
        val allowed = whole + if (growth.drawn < part - whole) 1 else 0
        val mayPrompt = own.pendingPromptTokens == 0L || own.pendingPromptTokens < allowed * growth.meanPromptTokens
        return own.running < allowed && mayPrompt
    }

    /** Records that a request of [promptTokens] was sent. */
    public fun recordSent(promptTokens: Int) {
        val growth = growth ?: return
        if (growth.meanPromptTokens == 0.0) growth.meanPromptTokens = promptTokens.toDouble()
        growth.meanPromptTokens += (promptTokens - growth.meanPromptTokens) * SMOOTHING_FACTOR
    }

    /**
     * Records a first event at [now].
     *
     * @param late whether it came after the latency objective.
     * @param slowness how many times as long as at the peers of the server it took.
     */
    public fun recordFirstEvent(late: Boolean, slowness: Double, now: Long) {
        if (growth == null) return recordAtFullShare(late && slowness > SLOW_PERIOD_RATIO)
        when {
            late -> recordOwn(PaceEvidence(bad = 1), now)
            slowness > SLOW_RATIO -> recordOwn(PaceEvidence(slow = 1), now)
            else -> recordOwn(PaceEvidence(onTime = 1), now)
        }
    }

    /** Records a pause within a response that is longer than the objective. */
    public fun recordLatePause(now: Long): Unit = recordOwn(PaceEvidence(bad = 1), now)

    /** Records that the server turned a request away for lack of capacity. */
    public fun recordRefused(now: Long): Unit = recordOwn(PaceEvidence(bad = 1), now)

    /** Records that the server could not be reached, or broke a response off. */
    public fun recordFailed(now: Long): Unit = recordOwn(PaceEvidence(bad = 1), now)

    /** Evidence since the last call, that of other nodes by [applyReport] included if it is to be passed on. */
    public fun takeEvidence(): PaceEvidence {
        val growth = growth ?: return PaceEvidence()
        return growth.unreported.also { growth.unreported = PaceEvidence() }
    }

    /**
     * Applies what another node reported at [now]. Nodes read the entry of a server at different times, and one that
     * was cut off much later; the limits of all of them that have the same [number] are one.
     *
     * @param limit its limit; null when it ended.
     * @param passOn whether other hubs learn of [evidence] from this node only.
     */
    public fun applyReport(number: Int, limit: Double?, evidence: PaceEvidence, passOn: Boolean, now: Long) {
        val growth = follow(number, limit, now) ?: return
        if (number != this.number) return
        if (passOn) growth.unreported += evidence
        apply(evidence, growth, now)
    }

    /** Applies the digest of the hub; see [applyReport]. */
    public fun applyDigest(number: Int, limit: Double?, now: Long) {
        val growth = follow(number, limit, now) ?: return
        if (limit == null || number != this.number) return
        growth.limit = withinSlots(limit)
        apply(growth.unreported, growth, now)
    }

    /** The limit in force once another node's limit with [number] is known; this node takes over a later one. */
    private fun follow(number: Int, limit: Double?, now: Long): Growth? {
        if (limit == null) {
            if (number >= this.number) end(now)
            this.number = maxOf(number, this.number)
        } else if (number > this.number) {
            begin(number, withinSlots(minOf(limit, growth?.limit ?: limit)))
        } else if (growth == null) {
            // The other node does not know yet that the limit has ended.
            endedAt = now
        }
        return growth
    }

    private fun withinSlots(limit: Double) = limit.coerceIn(initialLimit(), maxOf(initialLimit(), slots().toDouble()))

    private fun begin(number: Int, limit: Double): Growth {
        this.number = number
        lateRatio = 0.0
        return Growth(limit).also { growth = it }
    }

    private fun end(now: Long) {
        growth = null
        endedAt = now
    }

    private fun recordOwn(evidence: PaceEvidence, now: Long) {
        val growth = growth ?: return
        growth.unreported += evidence
        apply(evidence, growth, now)
    }

    private fun recordAtFullShare(slow: Boolean) {
        lateRatio += ((if (slow) 1.0 else 0.0) - lateRatio) * SMOOTHING_FACTOR
        if (lateRatio > SLOW_PERIOD_SHARE) begin()
    }

    private fun apply(evidence: PaceEvidence, growth: Growth, now: Long) {
        val full = slots().toDouble()
        val afterSlow = minOf(full * SLOW_PART, growth.limit + evidence.slow * GROWTH_PER_RESPONSE)
        growth.limit = maxOf(growth.limit + evidence.slow * SLOW_GROWTH_PER_RESPONSE, afterSlow) +
            evidence.onTime * GROWTH_PER_RESPONSE
        if (evidence.bad > 0) shrink(evidence.bad, growth, now)
        growth.limit = minOf(growth.limit, maxOf(full, 1.0))
        if (growth.limit >= full && evidence.bad == 0 && !evidence.isEmpty) end(now)
    }

    /** Shrinks the limit by the part that each bad response is of it, at most by half within a round of reports. */
    private fun shrink(bad: Int, growth: Growth, now: Long) {
        if (now >= growth.shrinkUntil) {
            growth.shrinkUntil = now + DRAW_MILLIS
            growth.shrinkFloor = growth.limit / 2
        }
        growth.limit = maxOf(growth.limit - bad * SHRINK_PER_RESPONSE, growth.shrinkFloor, initialLimit())
    }

    private fun initialLimit() = maxOf(1.0, slots() * INITIAL_PART)

    private companion object {
        /** As much as a server that takes one request at a time and one with many slots can both bear when cold. */
        const val INITIAL_PART = 1.0 / 16

        /**
         * A round of responses and reports takes 1 to 2 s, so few rounds must do. In trials at 106 nodes a
         * recovered engine of 64 slots had its full share after 7.0 s with 2 and after 5.0 s with 4.
         */
        const val GROWTH_PER_RESPONSE = 4.0

        /** The limit shrinks once more than a fifth of the responses are bad, to half of it at most in a round. */
        const val SHRINK_PER_RESPONSE = 16.0

        /** Twice as slow as its peers, a server has half their capacity. */
        const val SLOW_RATIO = 2.0
        const val SLOW_PART = 0.5

        /** A server that is slower than its peers for good has its full share after eight responses for each slot. */
        const val SLOW_GROWTH_PER_RESPONSE = 1.0 / 16

        /** A server with its full share gets a limit only by late responses that are far from those of its peers. */
        const val SLOW_PERIOD_RATIO = 3.0
        const val SLOW_PERIOD_SHARE = 0.5

        /** Averages over about the last ten responses. */
        const val SMOOTHING_FACTOR = 0.1

        /** The age of what a node knows of the others; a shorter draw would add to requests not known yet. */
        const val DRAW_MILLIS = 900L

        /** An idle server is not to wait for a node that draws it; what the others send meanwhile is not much. */
        const val IDLE_DRAW_MILLIS = 300L

        const val NONE = -1

        /** Several reports and digests. */
        const val ENDED_TTL_MILLIS = 2_000L
    }
}
