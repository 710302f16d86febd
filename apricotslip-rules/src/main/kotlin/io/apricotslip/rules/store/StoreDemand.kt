package io.apricotslip.rules.store

/** A load that waits for the store's rate. [since] is the arrival of the oldest request that waits for it. */
public data class StoreDemand(public val urgency: LoadUrgency, public val since: Long) : Comparable<StoreDemand> {
    /** The more urgent comes first, then the older. */
    override fun compareTo(other: StoreDemand): Int =
        compareValuesBy(this, other, StoreDemand::urgency, StoreDemand::since)
}
