package io.apricotslip.serving.room

/** Arrivals and places in use of one rank at one node. */
internal class RankDemand {
    private val arrivals = ArrayDeque<Long>()
    private var holdMillis: Double? = null

    /** Requests that have a place. */
    var running = 0

    fun recordArrival(now: Long) {
        arrivals.addLast(now)
        if (arrivals.size > MAX_ARRIVALS) arrivals.removeFirst()
    }

    fun recordHold(millis: Long) {
        holdMillis = holdMillis?.let { it + (millis - it) * SMOOTHING_FACTOR } ?: millis.toDouble()
    }

    fun arrivalsPerSecond(now: Long): Double {
        while (arrivals.isNotEmpty() && arrivals.first() <= now - WINDOW_MILLIS) arrivals.removeFirst()
        return arrivals.size * MILLIS_PER_SECOND / WINDOW_MILLIS
    }

    /** Places that the arrivals of the last seconds use on average. */
    fun neededPlaces(now: Long, meanHoldMillis: Double): Double =
        arrivalsPerSecond(now) * (holdMillis ?: meanHoldMillis) / MILLIS_PER_SECOND

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Long enough for a steady rate at a node that gets a few requests a second. */
        const val WINDOW_MILLIS = 4_000L
        const val SMOOTHING_FACTOR = 0.1
        const val MAX_ARRIVALS = 4_000
    }
}
