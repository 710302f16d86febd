package io.apricotslip.rules.store

import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/**
 * Token bucket that holds one VM's share of the store's load rate; a token is one load.
 *
 * - The bucket starts empty, so that VMs that restart at the same time cause no burst.
 * - An idle VM saves up only its share of the store's burst, so that the loads it does not need are available to peers
 *   that request a loan.
 * - A larger share takes effect after a delay and a smaller one at once, so that the shares of all VMs never add up to
 *   more than the whole, even while their VM lists differ.
 * - A loan is subtracted before it is sent: a lost message loses loads but never creates any.
 *
 * @param loadsPerSecond rate of the whole store.
 * @param fullSpeedInFlight concurrent loads that the store serves at full speed; the burst of all VMs together.
 * @param maxInFlight number of loads in flight above which each takes longer.
 * @param share share of this VM, from 0 to 1.
 */
public class StoreShare(
    private val loadsPerSecond: Double,
    private val fullSpeedInFlight: Int,
    private val maxInFlight: Int,
    share: Double,
    private val options: StoreShareOptions = StoreShareOptions(),
) : StoreBudget {
    private var share = share
    private var pendingShare = share
    private var pendingShareAt = Long.MAX_VALUE
    private var tokens = 0.0
    private var accruedUntil = Long.MIN_VALUE
    private var inFlight = 0
    private var lastLoanRequestAt = Long.MIN_VALUE
    private val demands = DemandTracker(options.demandTtlMillis * NANOS_PER_MILLI)

    override fun tryAcquire(now: Long): Boolean =
        tryAcquire(now, demands.first(now) ?: StoreDemand(LoadUrgency.INTERACTIVE, now))

    override fun tryAcquire(now: Long, demand: StoreDemand): Boolean {
        refill(now)
        val available =
            inFlight < inFlightLimit() && tokens - reservedTokens(demand.urgency) >= 1 - ROUNDING_TOLERANCE
        if (!available || demands.hasHigherPriority(demand, now)) {
            demands.record(demand, now)
            return false
        }
        tokens -= 1
        inFlight += 1
        demands.remove(demand.urgency)
        return true
    }

    override fun recordDemand(now: Long, demand: StoreDemand) {
        refill(now)
        demands.record(demand, now)
    }

    override fun onLoadEnded(now: Long) {
        inFlight = max(0, inFlight - 1)
    }

    override fun nextAvailableAt(now: Long): Long {
        refill(now)
        if (inFlight >= inFlightLimit()) return Long.MAX_VALUE
        if (tokens >= 1 - ROUNDING_TOLERANCE) return now
        val rate = loadsPerSecond * share
        if (rate <= 0) return Long.MAX_VALUE
        return now + ceil((1 - tokens) / rate * NANOS_PER_SECOND).toLong()
    }

    /** Number of loads saved up, including a fraction of one. */
    public fun available(now: Long): Double {
        refill(now)
        return tokens
    }

    /** Sets this VM's share to [share] after a change of the VM list; a larger share takes effect after the delay. */
    public fun resize(share: Double, now: Long) {
        refill(now)
        if (share <= this.share) {
            this.share = share
            pendingShareAt = Long.MAX_VALUE
        } else if (share != pendingShare || pendingShareAt == Long.MAX_VALUE) {
            pendingShare = share
            pendingShareAt = now + options.shareIncreaseDelayMillis * NANOS_PER_MILLI
        }
    }

    /** The loan request to send to every peer now, or null; at most one per minimum interval. */
    public fun nextLoanRequest(now: Long): LoanRequest? {
        refill(now)
        val minInterval = options.minLoanRequestIntervalMillis * NANOS_PER_MILLI
        val demand = demands.first(now) ?: return null
        val wanted = 1 + reservedTokens(demand.urgency) - tokens
        if (wanted <= ROUNDING_TOLERANCE || inFlight >= inFlightLimit()) return null
        if (lastLoanRequestAt != Long.MIN_VALUE && now - lastLoanRequestAt < minInterval) return null
        lastLoanRequestAt = now
        return LoanRequest(wanted, demand.urgency, max(0, now - demand.waitingSince) / NANOS_PER_MILLI)
    }

    /** Returns the loads to lend to the peer that sent [request]; they are subtracted before the peer gets them. */
    public fun lend(request: LoanRequest, now: Long): Double {
        refill(now)
        val ownDemand = demands.first(now)
        val waitingSince = now - (request.waitedMillis - options.lendMarginMillis) * NANOS_PER_MILLI
        if (ownDemand != null && ownDemand <= StoreDemand(request.urgency, waitingSince)) return 0.0
        val lent = min(max(0.0, request.wanted), max(0.0, tokens - reservedTokens(request.urgency)))
        tokens -= lent
        return lent
    }

    /** Lends up to [wanted] loads to a peer whose demand is unknown; it is treated as the least urgent. */
    public fun lend(wanted: Double, now: Long): Double = lend(LoanRequest(wanted, LoadUrgency.DEFERRABLE, 0), now)

    /** Adds [tokens] that a peer lent. */
    public fun receiveLoan(tokens: Double, now: Long) {
        refill(now)
        this.tokens = min(this.tokens + max(0.0, tokens), fullSpeedInFlight + options.minBurstWithDemand)
    }

    private fun refill(now: Long) {
        if (accruedUntil == Long.MIN_VALUE) accruedUntil = now
        if (now >= pendingShareAt) {
            accrue(pendingShareAt)
            share = pendingShare
            pendingShareAt = Long.MAX_VALUE
        }
        accrue(now)
    }

    private fun accrue(until: Long) {
        if (until <= accruedUntil) return
        val accrued = (until - accruedUntil) / NANOS_PER_SECOND * loadsPerSecond * share
        accruedUntil = until
        val limit = maxTokens(until)
        if (tokens < limit) tokens = min(limit, tokens + accrued)
    }

    private fun maxTokens(now: Long): Double {
        val idleLimit = fullSpeedInFlight * share
        return if (demands.first(now) == null) idleLimit else max(options.minBurstWithDemand, idleLimit)
    }

    private fun reservedTokens(urgency: LoadUrgency): Double {
        if (urgency == LoadUrgency.INTERACTIVE) return 0.0
        return min(options.reservedForInteractive, fullSpeedInFlight - 1.0) * share
    }

    private fun inFlightLimit(): Int = max(1, (maxInFlight * share).toInt())

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MILLI = 1_000_000L
        const val ROUNDING_TOLERANCE = 1e-9
    }
}
