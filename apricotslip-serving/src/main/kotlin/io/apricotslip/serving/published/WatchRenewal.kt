package io.apricotslip.serving.published

/**
 * Decides when a watch that the store does not answer is renewed: its connection may have gone silent, which would show
 * only when its time has passed, while other nodes read changes.
 */
public class WatchRenewal {
    private var sentAt: Long? = null
    private var aheadSince: Long? = null
    private var renewedAt = Long.MIN_VALUE / 2

    /** Records that a watch was sent at [now]. */
    public fun onSent(now: Long) {
        sentAt = now
        aheadSince = null
    }

    /** Records that the watch in progress ended. */
    public fun onEnded() {
        sentAt = null
    }

    /** Whether to renew the watch at [now]; this node has read up to [own], other nodes up to [elsewhere]. */
    public fun isDue(own: StoreHistory.Place, elsewhere: StoreHistory.Place, now: Long): Boolean {
        val sent = sentAt
        if (sent == null || elsewhere <= own) {
            aheadSince = null
            return false
        }
        val since = maxOf(sent, aheadSince ?: now.also { aheadSince = it })
        if (now - since < ANSWER_MILLIS || now - renewedAt < RENEWAL_INTERVAL_MILLIS) return false
        renewedAt = now
        return true
    }

    private companion object {
        /** The store answers a watch with changes at once, in 4 ms; this covers a store that is sixty times slower. */
        const val ANSWER_MILLIS = 300L

        /** A store that is slower still must not be called all the time. */
        const val RENEWAL_INTERVAL_MILLIS = 2_000L
    }
}
