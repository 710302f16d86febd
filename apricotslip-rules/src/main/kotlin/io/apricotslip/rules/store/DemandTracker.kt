package io.apricotslip.rules.store

/** Tracks the oldest unmet demand of each urgency. A demand expires unless it is repeated within [ttlNanos]. */
internal class DemandTracker(private val ttlNanos: Long) {
    private class RecordedDemand(val demand: StoreDemand, val recordedAt: Long)

    private val recorded = arrayOfNulls<RecordedDemand>(LoadUrgency.entries.size)

    fun record(demand: StoreDemand, now: Long) {
        val known = unexpired(demand.urgency, now)
        if (known == null || demand.waitingSince <= known.demand.waitingSince) {
            recorded[demand.urgency.ordinal] = RecordedDemand(demand, now)
        }
    }

    fun remove(urgency: LoadUrgency) {
        recorded[urgency.ordinal] = null
    }

    /** The demand of the highest priority, or null. */
    fun first(now: Long): StoreDemand? = LoadUrgency.entries.firstNotNullOfOrNull { unexpired(it, now) }?.demand

    /** Whether a demand of higher priority than [demand] is recorded. */
    fun hasHigherPriority(demand: StoreDemand, now: Long): Boolean = first(now)?.let { it < demand } == true

    private fun unexpired(urgency: LoadUrgency, now: Long): RecordedDemand? =
        recorded[urgency.ordinal]?.takeIf { now - it.recordedAt <= ttlNanos }
}
