package io.apricotslip.rules.store

/**
 * Options of a [StoreShare].
 *
 * @property shareIncreaseDelayMillis delay before a larger share takes effect, so that the other VMs have reduced
 *   theirs by then.
 * @property demandTtlMillis how long a demand is kept unless it is repeated.
 * @property minLoanRequestIntervalMillis minimum time between two loan requests.
 * @property lendMarginMillis time by which a peer's demand of the same urgency must have waited longer than this VM's
 *   own to get a loan.
 * @property minBurstWithDemand loads that a VM with an unmet demand may save up however small its share is. Above 1.0,
 *   so that no accrued fraction is lost while a whole load waits to be taken.
 * @property reservedForInteractive loads of the burst of all VMs that only interactive demands may take.
 */
public data class StoreShareOptions(
    public val shareIncreaseDelayMillis: Long = 5_000,
    public val demandTtlMillis: Long = 150,
    public val minLoanRequestIntervalMillis: Long = 10,
    public val lendMarginMillis: Long = 10,
    public val minBurstWithDemand: Double = 1.5,
    public val reservedForInteractive: Double = 1.0,
)
