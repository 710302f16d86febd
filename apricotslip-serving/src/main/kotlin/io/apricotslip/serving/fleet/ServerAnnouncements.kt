package io.apricotslip.serving.fleet

import io.apricotslip.serving.limit.RequestLimit
import io.apricotslip.serving.limit.RoomShare

/**
 * What the answers of one incarnation of a backend server have said about it. It outlives the entry of the server, as
 * an entry may be removed and come back while the server runs.
 */
public class ServerAnnouncements {
    /** What changed by an announcement. */
    public enum class Change { LEAVING, PAUSED, LIMIT, BRITTLE }

    /**
     * Time of the first answer that said that the server leaves; null when none did. An incarnation does not take that
     * back: answers without it may have been written before, and so may entries.
     */
    public var leavingSince: Long? = null
        private set

    /** Time until which the server wants no request of this node: the latest that one of its answers named. */
    public var pausedUntil: Long = Long.MIN_VALUE / 2
        private set

    /** The limit that the server names for the requests of all nodes. */
    public val requestLimit: RequestLimit = RequestLimit()

    /** This node's share of the places of the server while it is brittle. */
    public val roomShare: RoomShare = RoomShare()

    /** Applies [announcement], which was read at [now]; returns what it changed. */
    public fun record(announcement: ServerAnnouncement, now: Long): Set<Change> {
        val changes = HashSet<Change>()
        if (announcement.leaving && leavingSince == null) {
            leavingSince = now
            changes += Change.LEAVING
        }
        val resumesAt = announcement.pauseMillis?.let { now + it.coerceIn(0, MAX_PAUSE_MILLIS) }
        if (resumesAt != null && resumesAt > maxOf(now, pausedUntil)) {
            pausedUntil = resumesAt
            changes += Change.PAUSED
        }
        val limit = announcement.maxRequestsPerSecond
        val statesLimit = limit != null || announcement.liftsLimit
        if (statesLimit && requestLimit.recordStatement(limit, now, now)) changes += Change.LIMIT
        val rejections = announcement.maxRejectionsPerSecond
        val statesRoom = rejections != null || announcement.liftsLimit
        if (statesRoom && roomShare.recordStatement(rejections, now)) changes += Change.BRITTLE
        return changes
    }

    private companion object {
        /** Longer pauses are asked for anew, so that a senseless value does not last for the life of a server. */
        const val MAX_PAUSE_MILLIS = 3_600_000L
    }
}
