package io.apricotslip.serving.member

/**
 * Tells how long a hub has heard most of the hubs.
 *
 * Links that went silent together are replaced one after the other. A hub that hears a majority again first does not
 * hear all holders of claims yet, so it has to wait for the other links. So does a node that has become a hub since it
 * heard nobody; one that has just started has not missed anything.
 */
internal class MajorityTracker {
    private var hasHeardMajority = false
    private var lastMinorityAt = Long.MIN_VALUE / 2

    /** Records whether this node is a hub that hears most of the hubs at [now], the time since its start. */
    fun record(hearsMajority: Boolean, now: Long) {
        if (hearsMajority) {
            hasHeardMajority = true
        } else if (hasHeardMajority || now > START_MILLIS) {
            lastMinorityAt = now
        }
    }

    /** Whether the hub, which hears most of the hubs at [now], has not lost them lately. */
    fun isStable(now: Long): Boolean = now - lastMinorityAt >= RELINK_MILLIS

    private companion object {
        /** Links that went silent together are replaced within this time of each other. */
        const val RELINK_MILLIS = 2_000L

        /** Nodes that start together, also on a slow machine, have found each other by then. */
        const val START_MILLIS = 8_000L
    }
}
