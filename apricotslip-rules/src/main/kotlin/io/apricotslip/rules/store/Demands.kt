package io.apricotslip.rules.store

/** The oldest unmet demand of each urgency; one that is not repeated within [memoryNanos] is forgotten. */
internal class Demands(private val memoryNanos: Long) {
    private class Noted(val demand: StoreDemand, val at: Long)

    private val noted = arrayOfNulls<Noted>(LoadUrgency.entries.size)

    fun add(demand: StoreDemand, now: Long) {
        val known = fresh(demand.urgency, now)
        if (known == null || demand.since <= known.demand.since) noted[demand.urgency.ordinal] = Noted(demand, now)
    }

    fun remove(urgency: LoadUrgency) {
        noted[urgency.ordinal] = null
    }

    /** The demand that comes before all others, or null. */
    fun first(now: Long): StoreDemand? = LoadUrgency.entries.firstNotNullOfOrNull { fresh(it, now) }?.demand

    fun before(demand: StoreDemand, now: Long): Boolean = first(now)?.let { it < demand } == true

    private fun fresh(urgency: LoadUrgency, now: Long): Noted? =
        noted[urgency.ordinal]?.takeIf { now - it.at <= memoryNanos }
}
