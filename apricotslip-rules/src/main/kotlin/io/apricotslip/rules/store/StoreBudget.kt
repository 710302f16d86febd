package io.apricotslip.rules.store

/** This VM's share of the adapter loads that the weight store allows. Times are nanoseconds. */
public interface StoreBudget {
    /** Takes one load if one is available; a load that was taken is never returned to the budget. */
    public fun tryAcquire(now: Long): Boolean

    /** Like [tryAcquire], but leaves the load to a recently recorded demand of higher priority than [demand]. */
    public fun tryAcquire(now: Long, demand: StoreDemand): Boolean = tryAcquire(now)

    /** Records [demand], which can't take a load yet. */
    public fun recordDemand(now: Long, demand: StoreDemand): Unit = Unit

    /** Records that a load that was taken ended. */
    public fun onLoadEnded(now: Long)

    /** Time at which the next load may be taken; `Long.MAX_VALUE` if that depends on other events. */
    public fun nextAvailableAt(now: Long): Long
}
