package io.apricotslip.serving.limit

/**
 * Assigns each request that the servers have no room for, because of their limits or because they paused, the time at
 * which there is room for it, one after the other, so that requests do not come back together.
 */
public class ReturnSchedule {
    private var lastAt = Long.MIN_VALUE / 2

    /**
     * The delay after which a request that is refused at [now] finds room.
     *
     * @param perSecond requests a second for which there is room at this node.
     */
    public fun nextDelayMillis(perSecond: Double, now: Long): Long {
        if (perSecond <= 0) return MAX_DELAY_MILLIS
        lastAt = minOf(maxOf(lastAt, now) + intervalMillis(perSecond), now + MAX_DELAY_MILLIS)
        return lastAt - now
    }

    /**
     * The delay after which a request for servers that take none before [openAt] may be sent: the first one then, the
     * others at the rate [perSecond] at which requests arrive, so that the servers do not get them all at once.
     */
    public fun nextDelayAfterPauseMillis(perSecond: Double, now: Long, openAt: Long): Long {
        val interval = intervalMillis(maxOf(perSecond, MIN_RETURNS_PER_SECOND))
        lastAt = minOf(maxOf(lastAt + interval, openAt), openAt + MAX_DELAY_MILLIS)
        return lastAt - now
    }

    private fun intervalMillis(perSecond: Double): Long =
        (MILLIS_PER_SECOND / perSecond).toLong().coerceIn(1, MAX_DELAY_MILLIS)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** So few requests a second do not burden a server that has just opened. */
        const val MIN_RETURNS_PER_SECOND = 10.0

        /** Limits change; what is known now says little about what comes later than this after the room opens. */
        const val MAX_DELAY_MILLIS = 10_000L
    }
}
