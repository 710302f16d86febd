package io.apricotslip.rules.store

import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/**
 * Token bucket with one VM's share of the store's rate. It starts empty, so that VMs which restart at once make no
 * burst, and an idle VM saves up its part of the store's burst only, so that what it does not need is there for a peer
 * that asks. A larger share counts only after a delay, a smaller one at once, so that the shares of all VMs add up to
 * no more than the whole also while their lists differ. A loan is subtracted before it is sent: a lost message loses
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
    private val demands = Demands(options.demandMillis * NANOS_PER_MILLI)

    override fun tryAcquire(now: Long): Boolean =
        tryAcquire(now, demands.first(now) ?: StoreDemand(LoadUrgency.INTERACTIVE, now))

    override fun tryAcquire(now: Long, demand: StoreDemand): Boolean {
        refill(now)
        val free = inFlight < inFlightLimit() && tokens - kept(demand.urgency) >= 1 - ROUNDING
        if (!free || demands.before(demand, now)) {
            demands.add(demand, now)
            return false
        }
        tokens -= 1
        inFlight += 1
        demands.remove(demand.urgency)
        return true
    }

    override fun recordDemand(now: Long, demand: StoreDemand) {
        refill(now)
        demands.add(demand, now)
    }

    override fun onLoadEnded(now: Long) {
        inFlight = max(0, inFlight - 1)
    }

    override fun nextAvailableAt(now: Long): Long {
        refill(now)
        if (inFlight >= inFlightLimit()) return Long.MAX_VALUE
        if (tokens >= 1 - ROUNDING) return now
        val rate = loadsPerSecond * share
        if (rate <= 0) return Long.MAX_VALUE
        return now + ceil((1 - tokens) / rate * NANOS_PER_SECOND).toLong()
    }

    /** Loads saved up; a part of one also counts. */
    public fun available(now: Long): Double {
        refill(now)
        return tokens
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

    /** What to ask of every peer now, or null. Never twice within the pause. */
    public fun nextLoanRequest(now: Long): LoanRequest? {
        refill(now)
        val pause = options.askPauseMillis * NANOS_PER_MILLI
        val demand = demands.first(now) ?: return null
        val wanted = 1 + kept(demand.urgency) - tokens
        if (wanted <= ROUNDING || inFlight >= inFlightLimit()) return null
        if (askedAt != Long.MIN_VALUE && now - askedAt < pause) return null
        askedAt = now
        return LoanRequest(wanted, demand.urgency, max(0, now - demand.since) / NANOS_PER_MILLI)
    }

    /** Gives loads to a peer that sent [ask]; subtracted here before the peer learns of it. */
    public fun lend(ask: LoanRequest, now: Long): Double {
        refill(now)
        val own = demands.first(now)
        val since = now - (ask.waitedMillis - options.yieldMillis) * NANOS_PER_MILLI
        if (own != null && own <= StoreDemand(ask.urgency, since)) return 0.0
        val lent = min(max(0.0, ask.wanted), max(0.0, tokens - kept(ask.urgency)))
        tokens -= lent
        return lent
    }

    /** Gives up to [wanted] loads to a peer of which no more is known; subtracted here before the peer learns of it. */
    public fun lend(wanted: Double, now: Long): Double = lend(LoanRequest(wanted, LoadUrgency.DEFERRABLE, 0), now)

    /** A peer lent [tokens]. */
    public fun receiveLoan(tokens: Double, now: Long) {
        refill(now)
        this.tokens = min(this.tokens + max(0.0, tokens), fullSpeedInFlight + options.savedForDemand)
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
        val most = saved(until)
        if (tokens < most) tokens = min(most, tokens + made)
    }

    private fun saved(now: Long): Double {
        val idle = fullSpeedInFlight * share
        return if (demands.first(now) == null) idle else max(options.savedForDemand, idle)
    }

    private fun kept(urgency: LoadUrgency): Double {
        if (urgency == LoadUrgency.INTERACTIVE) return 0.0
        return min(options.reservedForInteractive, fullSpeedInFlight - 1.0) * share
    }

    private fun inFlightLimit(): Int = max(1, (maxInFlight * share).toInt())

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MILLI = 1_000_000L
        const val ROUNDING = 1e-9
    }
}
