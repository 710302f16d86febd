package io.apricotslip.serving.limit

/** The sum of the amounts that were added within the last [windowMillis]. */
internal class SlidingSum(private val windowMillis: Long, private val maxEntries: Int = Int.MAX_VALUE) {
    private class Entry(val at: Long, var amount: Double, var count: Int)

    private val entries = ArrayDeque<Entry>()
    private var sum = 0.0
    private var entryCount = 0

    /** Adds [amount] at [now]; it may be negative to correct an earlier one. */
    fun add(amount: Double, now: Long) {
        val last = entries.lastOrNull()
        if (last != null && last.at == now) {
            last.amount += amount
            last.count++
        } else {
            entries.addLast(Entry(now, amount, 1))
        }
        sum += amount
        entryCount++
        while (entryCount > maxEntries) removeOldest()
    }

    /** The sum over the window that ends at [now]. */
    fun at(now: Long): Double {
        while (entries.isNotEmpty() && entries.first().at <= now - windowMillis) removeOldest()
        // Rounding errors of the additions would remain for ever.
        if (entries.isEmpty()) sum = 0.0
        return sum
    }

    private fun removeOldest() {
        val oldest = entries.removeFirst()
        sum -= oldest.amount
        entryCount -= oldest.count
    }
}
