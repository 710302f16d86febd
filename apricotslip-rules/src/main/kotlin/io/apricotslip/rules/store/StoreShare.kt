package io.apricotslip.rules.store

import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/**
 * Token bucket with one VM's share of the store's rate. It starts empty, so that VMs which restart at once make no
 * burst. A larger share counts only after a delay, a smaller one at once, so that the shares of all VMs add up to no
 * more than the whole also while their lists differ. A loan is subtracted before it is sent: a lost message loses
 * loads and never makes any.
 *
 * @param loadsPerSecond rate of the whole store.
 * @param fullSpeedInFlight loads that the store runs at once at full speed; the burst of the whole fleet.
 * @param maxInFlight loads in flight beyond which each takes longer.
 * @param share part of this VM, from 0 to 1.
 */
public class StoreShare(
    private val loadsPerSecond: Double,
    private val fullSpeedInFlight: Int,
    private val maxInFlight: Int,
    share: Double,
    private val options: StoreShareOptions = StoreShareOptions(),
) : StoreBudget {
    private var share = share
    private var grown = share
    private var grownAt = Long.MAX_VALUE
    private var tokens = 0.0
    private var countedAt = Long.MIN_VALUE
    private var inFlight = 0
    private var askedAt = Long.MIN_VALUE
    private val refusedAt = LongArray(LoadUrgency.entries.size) { Long.MIN_VALUE }

    override fun tryTake(now: Long): Boolean = tryTake(now, LoadUrgency.INTERACTIVE)

    override fun tryTake(now: Long, urgency: LoadUrgency): Boolean {
        refill(now)
        if (inFlight >= inFlightLimit()) return false
        val taken = tokens >= 1 - ROUNDING && !wantedBefore(urgency, now)
        if (taken) {
            tokens -= 1
            inFlight += 1
            refusedAt[urgency.ordinal] = Long.MIN_VALUE
        } else {
            refusedAt[urgency.ordinal] = now
        }
        return taken
    }

    override fun ended(now: Long) {
        inFlight = max(0, inFlight - 1)
    }

    override fun nextAt(now: Long): Long {
        refill(now)
        if (inFlight >= inFlightLimit()) return Long.MAX_VALUE
        if (tokens >= 1 - ROUNDING) return now
        val rate = loadsPerSecond * share
        if (rate <= 0) return Long.MAX_VALUE
        return now + ceil((1 - tokens) / rate * NANOS_PER_SECOND).toLong()
    }

    /** The list of VMs changed and this VM's part is now [share]. */
    public fun resize(share: Double, now: Long) {
        refill(now)
        if (share <= this.share) {
            this.share = share
            grownAt = Long.MAX_VALUE
        } else if (share != grown || grownAt == Long.MAX_VALUE) {
            grown = share
            grownAt = now + options.growDelayMillis * NANOS_PER_MILLI
        }
    }

    /**
     * Loads to ask of a peer now, or 0.0. The caller asks one peer after the other; [urgency] goes with the ask.
     */
    public fun wanted(now: Long): Double {
        refill(now)
        val pause = options.askPauseMillis * NANOS_PER_MILLI
        if (urgency(now) == null || tokens >= 1 - ROUNDING || inFlight >= inFlightLimit()) return 0.0
        if (askedAt != Long.MIN_VALUE && now - askedAt < pause) return 0.0
        askedAt = now
        return 1 - tokens
    }

    /** The most urgent load that was refused lately, or null. */
    public fun urgency(now: Long): LoadUrgency? = LoadUrgency.entries.firstOrNull { isUnmet(it, now) }

    /** Gives up to [wanted] loads to a peer whose demand is [urgency]; subtracted here before the peer learns of it. */
    public fun lend(wanted: Double, now: Long, urgency: LoadUrgency = LoadUrgency.DEFERRABLE): Double {
        refill(now)
        val own = urgency(now)
        if (own != null && own <= urgency) return 0.0
        val lent = min(max(0.0, wanted), tokens)
        tokens -= lent
        return lent
    }

    /** A peer lent [tokens]. */
    public fun borrowed(tokens: Double, now: Long) {
        refill(now)
        this.tokens = min(this.tokens + max(0.0, tokens), burst() + 1)
    }

    private fun refill(now: Long) {
        if (countedAt == Long.MIN_VALUE) countedAt = now
        if (now >= grownAt) {
            accrue(grownAt)
            share = grown
            grownAt = Long.MAX_VALUE
        }
        accrue(now)
    }

    private fun accrue(until: Long) {
        if (until <= countedAt) return
        val made = (until - countedAt) / NANOS_PER_SECOND * loadsPerSecond * share
        countedAt = until
        if (tokens < burst()) tokens = min(burst(), tokens + made)
    }

    private fun burst(): Double = max(options.minBurst, fullSpeedInFlight * share)

    private fun inFlightLimit(): Int = max(1, (maxInFlight * share).toInt())

    private fun wantedBefore(urgency: LoadUrgency, now: Long): Boolean =
        LoadUrgency.entries.any { it < urgency && isUnmet(it, now) }

    private fun isUnmet(urgency: LoadUrgency, now: Long): Boolean {
        val at = refusedAt[urgency.ordinal]
        return at != Long.MIN_VALUE && now - at <= options.demandMillis * NANOS_PER_MILLI
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MILLI = 1_000_000L
        const val ROUNDING = 1e-9
    }
}
