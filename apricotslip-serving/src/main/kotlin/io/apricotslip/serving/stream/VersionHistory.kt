package io.apricotslip.serving.stream

import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.peer.SeenVersion
import io.apricotslip.api.peer.ServedVersions
import io.apricotslip.api.peer.StreamOrigin
import io.apricotslip.serving.fleet.Server

/**
 * Which software versions of each service have served, and since when that is known without a gap.
 *
 * Workload: nodes are restarted one after the other while callers take up streams of the time before. A node that
 * starts takes over what a node that has watched for longer has seen: together they have watched without a gap.
 */
public class VersionHistory {
    private val lastSeenAt = HashMap<StreamOrigin, Long>()
    private var watchedSince: Long? = null
    private var storeAvailable = true

    /** Number of times that this node has begun to watch, so far. */
    public var watches: Int = 0
        private set

    /** Records that [servers], all that the store lists, are there at [now]. */
    public fun record(servers: Collection<Server>, now: Long) {
        if (watchedSince == null && storeAvailable && servers.isNotEmpty()) {
            watchedSince = now
            watches++
        }
        for (server in servers) lastSeenAt[server.streamOrigin] = now
        lastSeenAt.values.removeIf { now - it > StreamMemory.MAX_LIFETIME_MILLIS }
    }

    /** Records that this process was paused, so that entries may have come and gone unseen. */
    public fun onPaused() {
        watchedSince = null
    }

    /** Records whether the store answers; what came and went while it did not may stay unseen. */
    public fun onStoreAvailability(available: Boolean) {
        storeAvailable = available
        onPaused()
    }

    /** Time for which all servers have been known at [now]; null while they are not. */
    public fun watchedMillis(now: Long): Long? = watchedSince?.let { now - it }

    /** What has served, for other nodes. */
    public fun seen(now: Long): List<SeenVersion> = lastSeenAt.map { (origin, at) -> SeenVersion(origin, now - at) }

    /**
     * Takes over at [now] what another node has [seen] in [watchedMillis], until this node was watching itself.
     */
    public fun takeOver(watchedMillis: Long, seen: List<SeenVersion>, now: Long) {
        val since = watchedSince ?: return
        watchedSince = minOf(since, now - watchedMillis.coerceIn(0, StreamMemory.MAX_LIFETIME_MILLIS))
        for (version in seen.take(MAX_SEEN)) {
            val at = now - version.ageMillis.coerceIn(0, StreamMemory.MAX_LIFETIME_MILLIS)
            lastSeenAt.merge(version.origin, at, ::maxOf)
        }
    }

    /** The versions of [service] that this node saw within [lifetimeMillis] before [now]. */
    public fun served(service: ServiceId, lifetimeMillis: Long, now: Long): ServedVersions {
        val seen = lastSeenAt.filter { it.key.service == service && now - it.value <= lifetimeMillis }.keys
        val only = seen.singleOrNull()
        return when {
            seen.size > 1 || only is StreamOrigin.Incarnation -> ServedVersions.Several
            only !is StreamOrigin.Version || !watchedFor(lifetimeMillis, now) -> ServedVersions.Unobserved
            else -> ServedVersions.Single(only.software)
        }
    }

    private fun watchedFor(millis: Long, now: Long) = watchedSince?.let { now - it >= millis } ?: false

    private companion object {
        /** Far more than the versions of all services within the lifetime of a stream. */
        const val MAX_SEEN = 10_000
    }
}
