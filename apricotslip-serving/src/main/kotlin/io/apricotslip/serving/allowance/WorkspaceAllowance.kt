package io.apricotslip.serving.allowance

import io.apricotslip.api.id.WorkspaceId
import io.apricotslip.api.peer.AllowanceUse
import io.apricotslip.serving.limit.ReturnSchedule
import io.apricotslip.serving.limit.SlidingSum
import io.apricotslip.serving.workspace.Allowance
import kotlin.math.roundToLong
import kotlin.random.Random

/** The part of this node in the allowance of one workspace. */
internal class WorkspaceAllowance(
    private val id: WorkspaceId,
    private var allowance: Allowance,
    private val size: FleetSize,
    bound: AllowanceBound,
    private val random: Random,
    now: Long,
) {
    private val asked = SlidingSum(WINDOW_MILLIS)
    private val granted = SlidingSum(WINDOW_MILLIS)
    private val bucket = FleetBucket(allowance, bound, now)
    private val returns = ReturnSchedule()
    private var reported = AllowanceUse(id, 0, 0)
    private var fleet = AllowanceUse(id, 0, 0)
    private var fleetAt: Long? = null
    private var unreportedSince: Long? = null
    private var lastShare: Double? = null
    private var credit = 0.0

    fun change(next: Allowance, now: Long) {
        if (next == allowance) return
        advance(now)
        allowance = next
        bucket.change(next, now)
    }

    fun ownUse(now: Long): AllowanceUse? {
        reported = AllowanceUse(id, maxOf(0, asked.at(now).roundToLong()), maxOf(0, granted.at(now).roundToLong()))
        return reported.takeIf { it.asked > 0 || it.granted > 0 }
    }

    fun applyFleet(total: AllowanceUse?, now: Long) {
        advance(now)
        // A hub of an older build leaves the figures out.
        unreportedSince = if (total == null && reported.asked > 0) unreportedSince ?: now else null
        fleet = total ?: reported
        fleetAt = now
        if (!size.isMinority && fleet.asked > 0) {
            lastShare = (reported.asked.toDouble() / fleet.asked).coerceIn(0.0, 1.0)
        }
    }

    fun tryAcquire(cost: Double, now: Long): Admission {
        advance(now)
        asked.add(cost, now)
        val askedPerSecond = fleetAsked(now) * PER_SECOND
        val grantable = bucket.grantable(part(now))
        val fraction = if (askedPerSecond > 0) grantable / askedPerSecond else 1.0
        // A request larger than the bucket would be refused for ever otherwise.
        val fills = fleetGranted(now) <= 0 && bucket.isFull(part(now))
        if (!fills && !admits(cost, fraction)) {
            val figures = AllowanceFigures(askedPerSecond, grantable, now - (fleetAt ?: 0))
            return Admission.Exceeded(retryAfterMillis(cost, figures, now), figures)
        }
        granted.add(cost, now)
        return Admission.Granted(Permit { at -> refund(cost, at) })
    }

    /** What costs nothing in the end must not make the fleet look busier than it is either. */
    private fun refund(cost: Double, now: Long) {
        advance(now)
        asked.add(-cost, now)
        granted.add(-cost, now)
    }

    /**
     * Admits the [fraction] of what is asked. Over several requests of this node the fraction is kept exactly; a node
     * that gets one request in a long time admits it with that probability.
     */
    private fun admits(cost: Double, fraction: Double): Boolean {
        if (fraction >= 1) {
            credit = 0.0
            return true
        }
        credit = (credit + fraction * cost).coerceIn(-cost, cost)
        if (credit <= 0 || credit < random.nextDouble() * cost) return false
        credit -= cost
        return true
    }

    private fun advance(now: Long) = bucket.advance(fleetGranted(now) * PER_SECOND, part(now), now)

    /** What all nodes are asked for within the window: that of others as reported, that of this one as it is. */
    private fun fleetAsked(now: Long) = others(now, fleet.asked - reported.asked) + asked.at(now)

    private fun fleetGranted(now: Long) = others(now, fleet.granted - reported.granted) + granted.at(now)

    private fun others(now: Long, amount: Long): Double = if (knowsOthers(now)) maxOf(0.0, amount.toDouble()) else 0.0

    private fun knowsOthers(now: Long): Boolean =
        fleetAt.let { it != null && now - it < STALE_MILLIS } && !lacksFigures(now)

    private fun lacksFigures(now: Long) = unreportedSince.let { it != null && now - it > UNREPORTED_MILLIS }

    /** The part of the allowance that those nodes may use whose figures this node knows. */
    private fun part(now: Long): Double = when {
        !knowsOthers(now) -> size.partOfOne(lastShare)
        else -> size.heardPart(lastShare)
    }

    /** Requests that are refused return one after the other, at the rate at which this node may grant them. */
    private fun retryAfterMillis(cost: Double, figures: AllowanceFigures, now: Long): Long {
        val ownPart = (asked.at(now) * PER_SECOND / figures.askedPerSecond).coerceIn(0.0, 1.0)
        val ownRate = allowance.perSecond * part(now) * ownPart
        return returns.nextDelayMillis(ownRate / cost, now) + bucket.debtMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Short, as demand may rise several times within a moment and is noticed only as it fills the window. */
        const val WINDOW_MILLIS = 1_000L
        const val PER_SECOND = MILLIS_PER_SECOND / WINDOW_MILLIS

        /** Several digests; a node that hears none for so long is cut off or was paused. */
        const val STALE_MILLIS = 1_500L

        /** More than the time in which a request that this node reported is in the figures of its hub. */
        const val UNREPORTED_MILLIS = 2_000L
    }
}
