package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.gateway.server.HttpConnection
import io.apricotslip.gateway.server.ServerConnectionPool
import io.apricotslip.serving.fleet.Server

/** The backend servers that one request was sent to without success, and why they are not tried again. */
internal class TriedServers(private val metadata: RequestMetadata, private val pace: PaceRecorder) {
    private val reasons = LinkedHashMap<BackendServerId, String>()
    private val connections = HashSet<HttpConnection>()

    /** Servers that the request is not sent to again. */
    val excluded: Set<BackendServerId>
        get() = reasons.keys

    /** Whether so many servers failed that another one will hardly do better. */
    val exhausted: Boolean
        get() = reasons.size > MAX_EXCLUDED

    /** The server that reported last that it does not hold the adapter of the request. */
    var missingAdapter: Server? = null
        private set

    /**
     * Connections that carried the request. A server may repeat its earlier answer there, which bears the id of the
     * request and cannot be told from the next one.
     */
    val usedConnections: Set<HttpConnection>
        get() = connections

    fun recordConnection(connection: HttpConnection) {
        connections.add(connection)
    }

    /** Does not send the request to [server] again, for [reason]. */
    fun exclude(server: Server, reason: String) {
        reasons[server.id] = reason
    }

    /** Records that no connection to [server] could be had, for [failure]. */
    fun recordUnreachable(server: Server, failure: String, now: Long) {
        if (failure !in NOT_OF_THE_SERVER) {
            server.health.recordUnreachable(now)
            pace.recordFailed(server)
            server.timing.recordFailure(now)
        }
        exclude(server, failure)
    }

    /** Records that [server] stated in [head] that it did not execute the request. */
    fun recordNotExecuted(server: Server, head: ServerResponseMetadata, now: Long) {
        if (!head.misdirected) {
            server.roomShare.recordRejection(now)
            pace.recordRefused(server)
            server.timing.recordOverload(now)
        }
        when {
            head.isOfOtherThan(server.id) -> {
                server.health.recordUnreachable(now)
                exclude(server, "replaced by ${head.serverId}")
            }
            head.misdirected -> {
                metadata.adapter?.let(server::markAdapterMissing)
                missingAdapter = server
            }
            // It may have room again before the request must be answered; until then it is closed to all requests.
            head.pauseMillis != null -> Unit
            else -> exclude(server, "not run, ${head.status}")
        }
    }

    /** For the log: the servers that are not tried again, and why. */
    override fun toString(): String = reasons.entries.joinToString(prefix = "tried=[", postfix = "]") {
        "${it.key}: ${it.value}"
    }

    private companion object {
        const val MAX_EXCLUDED = 3

        /** Failures that tell nothing of the server. */
        val NOT_OF_THE_SERVER =
            setOf(ServerConnectionPool.CONNECTION_LIMIT, ServerConnectionPool.NEW_CONNECTIONS_REFUSED)
    }
}
