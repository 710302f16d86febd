package io.apricotslip.serving.fleet

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.published.Recency
import io.apricotslip.serving.published.Statement
import io.apricotslip.serving.published.StorePosition

/**
 * Servers whose entries were removed, so that a store that comes back from a copy does not bring them back.
 *
 * Such an entry is held back. The store removes it again when the server does not renew it; when it stays, the server
 * is running.
 */
internal class RemovedServers {
    /** An entry of a removed server that came back with the store at [position], first read at [since]. */
    class Returning(val entry: ServerEntry, val position: StorePosition, val since: Long)

    private class Announced(val startedAtMillis: Long, val announcements: ServerAnnouncements)

    private class Recent<T> : LinkedHashMap<BackendServerId, T>() {
        override fun removeEldestEntry(eldest: Map.Entry<BackendServerId, T>) = size > MAX_REMOVED
    }

    private val lastStatements = Recent<Statement>()
    private val announced = Recent<Announced>()
    private val returning = HashMap<BackendServerId, Returning>()

    /** Records that [server] was removed at [position]. */
    fun record(server: Server, position: StorePosition) {
        lastStatements[server.id] = Statement(position, server.entry.count)
        announced[server.id] = Announced(server.entry.startedAtMillis, server.announcements)
    }

    /** What the incarnation that [entry] describes has said in its answers; null if it was not removed before. */
    fun announcements(entry: ServerEntry): ServerAnnouncements? =
        announced[entry.id]?.takeIf { it.startedAtMillis == entry.startedAtMillis }?.announcements

    /** Whether [entry] is not used for now: it says nothing that was not known when its server was removed. */
    fun holdsBack(entry: ServerEntry, statement: Statement, now: Long): Boolean {
        val last = lastStatements[entry.id] ?: return false
        if (statement.recency(last) == Recency.NEWER) return false
        if (statement.position.era > last.position.era) {
            val since = returning[entry.id]?.since ?: now
            returning[entry.id] = Returning(entry, statement.position, since)
        }
        return true
    }

    /** Records that the entry of [id] that came back is gone again, as the store said at [position]. */
    fun dropReturning(id: BackendServerId, position: StorePosition) {
        val entry = returning[id] ?: return
        if (position.era == entry.position.era && position.revision < entry.position.revision) return
        returning.remove(id)
        lastStatements[id] = Statement(position, entry.entry.count)
    }

    fun returningIds(): Set<BackendServerId> = returning.keys.toSet()

    /** Removes and returns the entries that have stayed for longer than the store keeps those of dead servers. */
    fun takeReturned(now: Long): List<Returning> {
        if (returning.isEmpty()) return emptyList()
        val stayed = returning.values.filter { now - it.since >= ENTRY_LIFETIME_MILLIS }
        stayed.forEach { forget(it.entry.id) }
        return stayed
    }

    fun forget(id: BackendServerId) {
        lastStatements.remove(id)
        announced.remove(id)
        returning.remove(id)
    }

    private companion object {
        /** Three heartbeats of a server in the deployments, after which the store removes its entry, and its return. */
        const val ENTRY_LIFETIME_MILLIS = 6_000L

        /** Many times the servers that leave within the history that a copy may lack. */
        const val MAX_REMOVED = 4_096
    }
}
