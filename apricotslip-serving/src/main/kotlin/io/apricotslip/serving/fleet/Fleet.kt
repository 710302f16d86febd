package io.apricotslip.serving.fleet

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.serving.published.AuthorCount
import io.apricotslip.serving.published.Recency
import io.apricotslip.serving.published.Statement
import io.apricotslip.serving.published.StorePosition

/**
 * The backend servers known to this node.
 *
 * An entry that disappears while the store is unavailable, or shortly after it returns, is kept for a while: a server
 * that is still running writes its entry again.
 *
 * @param paced whether a server that starts after the first listing gets a limit until its responses are on time. This
 * node has not seen the servers of the first listing start; other nodes tell it about those that did lately.
 */
public class Fleet(private val paced: Boolean = false) {
    private val servers = LinkedHashMap<BackendServerId, Server>()
    private val lapsed = HashMap<BackendServerId, StorePosition>()
    private val removed = RemovedServers()
    private var storeUnavailable = false
    private var removalsResumeAt = Long.MIN_VALUE / 2
    private var listed = false

    /** All servers that have not been removed. */
    public val all: Collection<Server>
        get() = servers.values

    /** Result of applying an entry. */
    public enum class Change {
        /** The entry names a new server, or a new incarnation or another service of a known one. */
        NEW_LIFE,

        /** The server announced that it leaves. */
        LEAVING,

        /** The entry replaced an older one of the same incarnation. */
        UPDATED,

        /** The entry is older than the known one and was ignored. */
        STALE,
    }

    public operator fun get(id: BackendServerId): Server? = servers[id]

    /** Applies an entry that the store holds at [position]. */
    public fun applyEntry(entry: ServerEntry, position: StorePosition, now: Long): Change {
        val known = servers[entry.id]
        val statement = Statement(position, entry.count)
        if (known != null && statement.recency(known.statement) == Recency.OLDER) {
            keepListed(entry.id, position)
            return Change.STALE
        }
        if (known == null && removed.holdsBack(entry, statement, now)) return Change.STALE
        return accept(entry, position, now)
    }

    /** A server that a later era of the store lists, if only with an older entry, is not removed for an earlier one. */
    private fun keepListed(id: BackendServerId, position: StorePosition) {
        val removal = lapsed[id] ?: return
        if (position.era > removal.era) lapsed.remove(id)
    }

    private fun accept(entry: ServerEntry, position: StorePosition, now: Long): Change {
        val known = servers[entry.id]
        val sameIncarnation = known != null && known.entry.startedAtMillis == entry.startedAtMillis
        val announcements = if (sameIncarnation) known.announcements else removed.announcements(entry)
        lapsed.remove(entry.id)
        removed.forget(entry.id)
        if (!sameIncarnation || known.entry.service != entry.service) {
            val server = Server(entry, position, now, announcements ?: ServerAnnouncements())
            servers[entry.id] = server
            val isNew = announcements == null && (listed || known != null)
            if (paced && isNew) server.pace.begin()
            return Change.NEW_LIFE
        }
        val wasLeaving = known.leavingSince != null
        known.update(entry, position, now)
        return if (entry.leaving && !wasLeaving) Change.LEAVING else Change.UPDATED
    }

    /** Applies the removal of an entry at [position]; returns whether the server was removed at once. */
    public fun applyRemoval(id: BackendServerId, position: StorePosition, now: Long): Boolean {
        removed.dropReturning(id, position)
        val known = servers[id] ?: return false
        if (Statement(position, AuthorCount.Removal).recency(known.statement) == Recency.OLDER) return false
        if (storeUnavailable || now < removalsResumeAt) {
            lapsed[id] = position
            return false
        }
        remove(id, position)
        return true
    }

    /**
     * Applies a full listing that began at [position]: servers whose id is not in [ids] count as removed. Returns those
     * removed at once.
     */
    public fun applyListing(ids: Set<BackendServerId>, position: StorePosition, now: Long): List<BackendServerId> {
        listed = true
        removed.returningIds().filter { it !in ids }.forEach { removed.dropReturning(it, position) }
        return servers.keys.filter { it !in ids }.filter { applyRemoval(it, position, now) }
    }

    /**
     * Records that the store came back from a copy: it may lack the entries of servers that are running, and hold those
     * of servers that were removed.
     */
    public fun onStoreRestored(now: Long) {
        removalsResumeAt = maxOf(removalsResumeAt, now + REMOVAL_DELAY_MILLIS)
    }

    /** Records that the store does not answer. */
    public fun onStoreUnavailable() {
        storeUnavailable = true
    }

    /** Records that the store answers again. */
    public fun onStoreAvailable(now: Long) {
        if (!storeUnavailable) return
        storeUnavailable = false
        removalsResumeAt = maxOf(removalsResumeAt, now + REMOVAL_DELAY_MILLIS)
    }

    /** Takes back removed servers whose entries came back with the store and have stayed there; returns them. */
    public fun acceptReturned(now: Long): List<BackendServerId> {
        if (storeUnavailable || now < removalsResumeAt) return emptyList()
        return removed.takeReturned(now).map { returned ->
            accept(returned.entry, returned.position, now)
            returned.entry.id
        }
    }

    /** Removes servers whose entry disappeared during an outage and did not return; returns them. */
    public fun removeLapsed(now: Long): List<BackendServerId> {
        if (storeUnavailable || now < removalsResumeAt || lapsed.isEmpty()) return emptyList()
        val ended = lapsed.toMap()
        ended.forEach(::remove)
        return ended.keys.toList()
    }

    /** Whether [server], which was selected before, may be sent a request at [now]. */
    public fun admission(server: Server, now: Long): Admission =
        server.admission(now, current = servers[server.id] === server)

    /** Servers of [service] that may be given new work at [now]; those in backoff are left out. */
    public fun usable(service: ServiceId, now: Long): List<Server> = servers.values.filter {
        it.entry.service == service && it.admission(now) == Admission.Open && it.health.usable(now)
    }

    /** Time after which the first of the paused servers of [service] takes requests; null when none is paused. */
    public fun shortestPauseMillis(service: ServiceId, excluded: Set<BackendServerId>, now: Long): Long? =
        servers.values.filter { it.entry.service == service && it.id !in excluded }
            .mapNotNull { (it.admission(now) as? Admission.Paused)?.millis }
            .minOrNull()

    /** Servers of [service] that have not announced that they leave. */
    public fun serversNotLeaving(service: ServiceId): List<Server> =
        servers.values.filter { it.entry.service == service && it.leavingSince == null }

    private fun remove(id: BackendServerId, position: StorePosition) {
        lapsed.remove(id)
        servers.remove(id)?.let { removed.record(it, position) }
    }

    private companion object {
        /**
         * Entries that lapsed during a store outage return within about two seconds of its end; the rest is the time
         * that they take to reach this node.
         */
        const val REMOVAL_DELAY_MILLIS = 2_500L
    }
}
