package io.apricotslip.rules.store

/** This VM's share of the loads that the weight store allows. */
public interface StoreBudget {
    /** Takes one load if there is one; a taken load is never given back. */
    public fun tryAcquire(now: Long): Boolean

    /** Like [tryAcquire], and leaves the load to a [demand] that was wanted shortly before and comes first. */
    public fun tryAcquire(now: Long, demand: StoreDemand): Boolean = tryAcquire(now)

    /** Notes [demand], which can't take a load yet. */
    public fun recordDemand(now: Long, demand: StoreDemand): Unit = Unit

    /** A load that was taken ended. */
    public fun onLoadEnded(now: Long)

    /** Nanoseconds when the next load may be taken. */
    public fun nextAvailableAt(now: Long): Long
}
