package io.apricotslip.gateway.server

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.reach.ServerReach
import kotlin.math.min

/**
 * Pool of connections to backend servers. It reuses an idle connection only for a part of the server's idle timeout.
 *
 * A server may not announce its idle timeout. When it closes an idle connection, the time for which this connection was
 * idle becomes the upper limit of the timeout that the pool assumes for the server.
 *
 * @param reach learns what the connections show of the links to servers.
 * @param onStray called when bytes arrive from a server that belong to no response.
 */
public class ServerConnectionPool(
    private val connector: Connector,
    private val now: () -> Long,
    private val reach: ServerReach = ServerReach(),
    private val onStray: (server: BackendServerId, reason: String) -> Unit = { _, _ -> },
) {
    private class IdleConnection(val connection: HttpConnection, val server: BackendServerId, val idleSince: Long)

    private class ServerConnections(val serverBornMillis: Long) {
        val idle = ArrayDeque<IdleConnection>()
        val busy = HashSet<HttpConnection>()
        var opening = 0
        var idleTimeoutMillis = INITIAL_IDLE_TIMEOUT_MILLIS
        val size: Int get() = idle.count { it.connection.open } + busy.size + opening
        val hasIdle: Boolean get() = idle.any { it.connection.open }
    }

    private val connectionsByServer = HashMap<BackendServerId, ServerConnections>()

    /** Number of connections opened so far. */
    public var openedCount: Long = 0
        private set

    /**
     * Obtains a connection to [server], an idle one if possible; [done] gets the connection or the reason for the
     * failure. The pool has at most [limit] connections to the server.
     *
     * @param earlyExpiry whether an idle connection is reused only well before the server may close it.
     * @param avoid connections that are not reused.
     * @param exclusive whether the request gets a new connection, which is not reused: what a server sends late in
     * response to another request could not be told from the response to it.
     */
    public fun acquire(
        server: Server,
        limit: Int,
        earlyExpiry: Boolean,
        avoid: Set<HttpConnection> = emptySet(),
        exclusive: Boolean = false,
        done: (connection: HttpConnection?, failure: String?) -> Unit,
    ) {
        val connections = connectionsTo(server)
        val timeoutShare = if (earlyExpiry) EARLY_REUSE_TIMEOUT_SHARE else REUSE_TIMEOUT_SHARE
        val reused = if (exclusive) null else takeIdle(connections, timeoutShare, avoid)
        if (reused != null) {
            connections.busy.add(reused)
            return done(reused, null)
        }
        if (connections.size >= limit && !(exclusive && connections.hasIdle)) return done(null, CONNECTION_LIMIT)
        if (reach.avoidsNewConnections) return done(null, NEW_CONNECTIONS_REFUSED)
        if (connections.size >= limit) connections.idle.first { it.connection.open }.connection.abandon()
        open(server, connections, exclusive, done)
    }

    /** Closes the idle connections to [server] and removes it from the pool; requests in progress continue. */
    public fun removeServer(server: BackendServerId) {
        connectionsByServer.remove(server)?.let { connections ->
            connections.idle.forEach { it.connection.abandon() }
        }
    }

    /** Closes all idle connections: this node was cut off from the servers, which may have closed them since. */
    public fun closeIdle() {
        for (connections in connectionsByServer.values) {
            while (connections.idle.isNotEmpty()) connections.idle.removeFirst().connection.abandon()
        }
    }

    /** Closes connections that were idle for too long. */
    public fun closeExpired() {
        for (connections in connectionsByServer.values) {
            while (
                connections.idle.isNotEmpty() &&
                isExpired(connections, connections.idle.first(), REUSE_TIMEOUT_SHARE)
            ) {
                connections.idle.removeFirst().connection.abandon()
            }
        }
    }

    private fun connectionsTo(server: Server): ServerConnections {
        val known = connectionsByServer[server.id]
        if (known != null && known.serverBornMillis == server.entry.startedAtMillis) return known
        removeServer(server.id)
        return ServerConnections(server.entry.startedAtMillis).also { connectionsByServer[server.id] = it }
    }

    private fun takeIdle(
        connections: ServerConnections,
        timeoutShare: Double,
        avoid: Set<HttpConnection>,
    ): HttpConnection? {
        while (true) {
            val newest = connections.idle.lastOrNull { it.connection !in avoid && it.connection.open } ?: return null
            if (isExpired(connections, newest, timeoutShare)) return null
            // One that is closed by the look at it leaves the pool in onClosed.
            if (!newest.connection.closeUnlessClean()) continue
            connections.idle.remove(newest)
            return newest.connection
        }
    }

    private fun isExpired(connections: ServerConnections, entry: IdleConnection, timeoutShare: Double): Boolean {
        val timeoutMillis = min(entry.connection.keepAliveMillis ?: Long.MAX_VALUE, connections.idleTimeoutMillis)
        return now() - entry.idleSince > timeoutMillis * timeoutShare
    }

    private fun open(
        server: Server,
        connections: ServerConnections,
        exclusive: Boolean,
        done: (HttpConnection?, String?) -> Unit,
    ) {
        connections.opening++
        openedCount++
        val id = server.id
        var heard = false
        val connection = HttpConnection(
            now,
            onIdle = { if (exclusive) it.abandon() else onIdle(connections, id, it) },
            onClosed = { onClosed(connections, id, it, heard) },
            onSent = { reach.recordSent(now()) },
            onBytes = {
                if (heard) reach.recordHeard(now()) else reach.recordNewConnectionHeard(now())
                heard = true
            },
            onStray = { onStray(id, it) },
        )
        reach.recordSent(now())
        connector.open(server.entry.host, server.entry.port, connection) { failure ->
            connections.opening--
            if (failure == null) connections.busy.add(connection) else reach.recordRefused(id)
            done(connection.takeIf { failure == null }, failure)
        }
    }

    private fun onIdle(connections: ServerConnections, server: BackendServerId, connection: HttpConnection) {
        connections.busy.remove(connection)
        if (connectionsByServer[server] !== connections) return connection.abandon()
        connections.idle.addLast(IdleConnection(connection, server, now()))
    }

    private fun onClosed(
        connections: ServerConnections,
        server: BackendServerId,
        connection: HttpConnection,
        heard: Boolean,
    ) {
        val broken = connections.busy.remove(connection) && !connection.endedHere
        if (broken) if (heard) reach.recordBroken(server) else reach.recordRefused(server)
        val entry = connections.idle.find { it.connection === connection } ?: return
        connections.idle.remove(entry)
        if (connection.endedHere) return
        val idleMillis = now() - entry.idleSince
        if (idleMillis > MIN_IDLE_TIMEOUT_MILLIS) {
            connections.idleTimeoutMillis = min(connections.idleTimeoutMillis, idleMillis)
        }
    }

    public companion object {
        /** The failure when the pool has as many connections to a server as it may. */
        public const val CONNECTION_LIMIT: String = "connection limit"

        /** The failure when this node opens no new connections to servers for now. */
        public const val NEW_CONNECTIONS_REFUSED: String = "new connections are refused"

        /** Below the usual idle timeouts of servers. */
        private const val INITIAL_IDLE_TIMEOUT_MILLIS = 8_000L

        /** A connection that is closed after a shorter idle time was not closed because of an idle timeout. */
        private const val MIN_IDLE_TIMEOUT_MILLIS = 500L

        /** Share of the server's idle timeout in which a connection is reused for requests that can be retried. */
        private const val REUSE_TIMEOUT_SHARE = 0.75

        /** The same share for requests that must be executed at most once. */
        private const val EARLY_REUSE_TIMEOUT_SHARE = 0.5
    }
}
