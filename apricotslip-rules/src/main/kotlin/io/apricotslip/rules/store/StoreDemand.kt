package io.apricotslip.rules.store

/**
 * A load that waits for the store's rate limit.
 *
 * @property waitingSince arrival of the oldest request that waits for the load, in nanoseconds.
 */
public data class StoreDemand(public val urgency: LoadUrgency, public val waitingSince: Long) :
    Comparable<StoreDemand> {
    /** Orders by urgency, the most urgent first, then by age, the oldest first. */
    override fun compareTo(other: StoreDemand): Int =
        compareValuesBy(this, other, StoreDemand::urgency, StoreDemand::waitingSince)
}
