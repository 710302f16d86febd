package io.apricotslip.serving.allowance

import io.apricotslip.serving.workspace.Allowance

/**
 * The bucket of one allowance over all nodes, as one node computes it from the figures of all.
 *
 * The granted amounts of the last second, integrated over time, add up to all that was granted, about a second late.
 * What was granted too much in that time makes the level negative and is made up for in the next seconds.
 */
internal class FleetBucket(private var allowance: Allowance, private val bound: AllowanceBound, now: Long) {
    private var level = 0.0
    private var updatedAt = now
    private var settledAt = now
    private val repaySeconds = maxOf(MIN_REPAY_SECONDS, bound.windowSeconds * REPAY_PART)

    /** Time in which what was granted too much is made up for, in milliseconds; at most half the window. */
    val debtMillis: Long
        get() = (maxOf(0.0, -level) / allowance.perSecond).coerceAtMost(bound.windowSeconds * DEBT_PART)
            .times(MILLIS_PER_SECOND).toLong()

    /** Applies a new [next]; what was sent before it does not count against a lower rate. */
    fun change(next: Allowance, now: Long) {
        if (next.perSecond < allowance.perSecond) settledAt = now + SETTLE_MILLIS
        allowance = next
        level = level.coerceIn(0.0, bound.depth(next))
    }

    /** Advances to [now], while all nodes grant [grantedPerSecond] of the part [part] of the allowance. */
    fun advance(grantedPerSecond: Double, part: Double, now: Long) {
        val elapsed = now - updatedAt
        updatedAt = now
        val seconds = minOf(elapsed, MAX_STEP_MILLIS) / MILLIS_PER_SECOND
        if (elapsed > MAX_STEP_MILLIS) level = minOf(level, 0.0)
        val rate = allowance.perSecond * part
        val change = (rate - grantedPerSecond) * seconds
        val deepest = -bound.windowSeconds * DEBT_PART * rate - part * bound.depth(allowance)
        val lowest = if (now < settledAt) 0.0 else deepest
        level = (level + change).coerceIn(minOf(lowest, level), bound.depth(allowance) * part)
    }

    /** What all nodes together may grant, in units a second. */
    fun grantable(part: Double): Double {
        val correction = level / if (level > 0) SPEND_SECONDS else repaySeconds
        return maxOf(0.0, allowance.perSecond * part + correction)
    }

    /** Whether the bucket of the part [part] holds all that it can. */
    fun isFull(part: Double): Boolean = level >= bound.depth(allowance) * part

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** A node that did nothing for longer was paused, and does not know what the others granted meanwhile. */
        const val MAX_STEP_MILLIS = 1_500L

        /** The usual age of the figures; nodes that make up for debts faster all stop and start together. */
        const val MIN_REPAY_SECONDS = 1.0
        const val SPEND_SECONDS = 1.0

        /** Part of the window; what was granted too much before it need not be made up for. */
        const val DEBT_PART = 0.5

        /** Part of the window. */
        const val REPAY_PART = 0.3125

        /** The window of the figures and their age, whatever the window of the bound is. */
        const val SETTLE_MILLIS = 2_500L
    }
}
