package io.apricotslip.rules.store

/** This VM's share of the loads that the weight store allows. */
public interface StoreBudget {
    /** Takes one load if there is one; a taken load is never given back. */
    public fun tryTake(now: Long): Boolean

    /** A load that was taken ended. */
    public fun ended(now: Long)

    /** Nanoseconds when the next load may be taken. */
    public fun nextAt(now: Long): Long
}
