package io.apricotslip.serving.room

/** How long requests keep their places: the mean and the shortest of the last seconds. */
internal class MeanHold {
    /** The mean; null if none was recorded. */
    var measuredMillis: Double? = null
        private set
    private var windowStart = 0L
    private var current = Double.MAX_VALUE
    private var previous = Double.MAX_VALUE

    val millis: Double
        get() = measuredMillis ?: INITIAL_MILLIS

    fun record(heldMillis: Long, now: Long) {
        measuredMillis = measuredMillis?.let { it + (heldMillis - it) * SMOOTHING_FACTOR } ?: heldMillis.toDouble()
        roll(now)
        current = minOf(current, heldMillis.toDouble())
    }

    fun shortest(now: Long): Double? {
        roll(now)
        return minOf(current, previous).takeIf { it < Double.MAX_VALUE }
    }

    private fun roll(now: Long) {
        if (now - windowStart < WINDOW_MILLIS) return
        previous = current
        current = Double.MAX_VALUE
        windowStart = now
    }

    private companion object {
        const val INITIAL_MILLIS = 500.0
        const val SMOOTHING_FACTOR = 0.1
        const val WINDOW_MILLIS = 10_000L
    }
}
