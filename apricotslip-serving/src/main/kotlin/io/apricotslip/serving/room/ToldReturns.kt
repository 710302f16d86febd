package io.apricotslip.serving.room

/**
 * Requests that were refused and told when to return, so that those that do are not refused again for new ones.
 *
 * It knows the refusals of this node only: a caller that returns to another node counts as new there.
 */
public class ToldReturns<K> {
    private val returnAt = LinkedHashMap<K, Long>()

    /** Records that the request known by [key] was told at [now] to return after [delayMillis]. */
    public fun record(key: K, delayMillis: Long, now: Long) {
        returnAt.remove(key)
        returnAt[key] = now + delayMillis
        val eldest = returnAt.entries.iterator()
        while (eldest.hasNext()) {
            val expired = eldest.next().value < now - MEMORY_MILLIS
            if (!expired && returnAt.size <= MAX_REQUESTS) break
            eldest.remove()
        }
    }

    /** Whether the request known by [key], which arrives at [now], returns when it was told to; true only once. */
    public fun take(key: K, now: Long): Boolean {
        val due = returnAt[key] ?: return false
        if (now < due - EARLY_MILLIS) return false
        returnAt.remove(key)
        return now <= due + MEMORY_MILLIS
    }

    private companion object {
        /** Clocks of callers run a little differently. */
        const val EARLY_MILLIS = 50L

        /** A caller that comes later than this has not waited for its turn. */
        const val MEMORY_MILLIS = 5_000L
        const val MAX_REQUESTS = 1_000
    }
}
