package io.apricotslip.serving.fleet

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ServiceId

/**
 * The backend servers known to this node.
 *
 * An entry that disappears while the store is unavailable, or shortly after it returns, is kept for a while: a server
 * that is still running writes its entry again.
 */
public class Fleet {
    private val servers = LinkedHashMap<BackendServerId, Server>()
    private val lapsed = HashMap<BackendServerId, Long>()
    private var storeUnavailable = false
    private var removalsResumeAt = Long.MIN_VALUE / 2

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

    /** Applies an entry that was written at store revision [revision]. */
    public fun applyEntry(entry: ServerEntry, revision: Long, now: Long): Change {
        val known = servers[entry.id]
        if (known != null && revision < known.revision) return Change.STALE
        lapsed.remove(entry.id)
        if (known == null ||
            known.entry.startedAtMillis != entry.startedAtMillis ||
            known.entry.service != entry.service
        ) {
            servers[entry.id] = Server(entry, revision, now)
            return Change.NEW_LIFE
        }
        val wasLeaving = known.leavingSince != null
        known.update(entry, revision, now)
        return if (entry.leaving && !wasLeaving) Change.LEAVING else Change.UPDATED
    }

    /** Applies the removal of an entry; returns whether the server was removed at once. */
    public fun applyRemoval(id: BackendServerId, now: Long): Boolean {
        if (id !in servers) return false
        if (storeUnavailable || now < removalsResumeAt) {
            lapsed[id] = now
            return false
        }
        remove(id)
        return true
    }

    /** Applies a full listing: servers whose id is not in [ids] count as removed. Returns those removed at once. */
    public fun applyListing(ids: Set<BackendServerId>, now: Long): List<BackendServerId> =
        servers.keys.filter { it !in ids }.filter { applyRemoval(it, now) }

    /** Records that the store does not answer. */
    public fun onStoreUnavailable() {
        storeUnavailable = true
    }

    /** Records that the store answers again. */
    public fun onStoreAvailable(now: Long) {
        if (!storeUnavailable) return
        storeUnavailable = false
        removalsResumeAt = now + REMOVAL_DELAY_MILLIS
    }

    /** Removes servers whose entry disappeared during an outage and did not return; returns them. */
    public fun removeLapsed(now: Long): List<BackendServerId> {
        if (storeUnavailable || now < removalsResumeAt || lapsed.isEmpty()) return emptyList()
        val removed = lapsed.keys.toList()
        removed.forEach(::remove)
        return removed
    }

    /** Servers of [service] that may be given new work at [now]; those in backoff are left out. */
    public fun usable(service: ServiceId, now: Long): List<Server> =
        servers.values.filter { it.entry.service == service && it.leavingSince == null && it.health.usable(now) }

    /** Servers of [service] that have not announced that they leave. */
    public fun serversNotLeaving(service: ServiceId): List<Server> =
        servers.values.filter { it.entry.service == service && it.leavingSince == null }

    private fun remove(id: BackendServerId) {
        servers.remove(id)
        lapsed.remove(id)
    }

    private companion object {
        /**
         * Entries that lapsed during a store outage return within about two seconds of its end; the rest is the time
         * that they take to reach this node.
         */
        const val REMOVAL_DELAY_MILLIS = 2_500L
    }
}
