package io.apricotslip.gateway.server

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.fleet.Server
import kotlin.math.min

/**
 * Connections to backend servers, kept while idle for less than the server keeps them.
 *
 * A connection that the server closes while it is idle teaches how long it keeps them when it does not say so.
 */
public class ServerConnectionPool(private val connector: Connector, private val now: () -> Long) {
    private class Member(val link: HttpConnection, val server: BackendServerId, val since: Long)

    private class Lane(val born: Long) {
        val idle = ArrayDeque<Member>()
        val busy = HashSet<HttpConnection>()
        var opening = 0
        var keepMillis = FIRST_KEEP_MILLIS
        val size: Int get() = idle.size + busy.size + opening
    }

    private val lanes = HashMap<BackendServerId, Lane>()

    /** Number of new connections so far. */
    public var opened: Long = 0
        private set

    /**
     * Takes a connection to [server], a kept one when possible, at most [limit] of them.
     *
     * @param earlyExpiry whether a kept connection must be used well before the server may close it.
     */
    public fun acquire(
        server: Server,
        limit: Int,
        earlyExpiry: Boolean,
        done: (link: HttpConnection?, failure: String?) -> Unit,
    ) {
        val lane = lane(server)
        val kept = keptLink(lane, if (earlyExpiry) FRESH_SHARE else KEPT_SHARE)
        if (kept != null) {
            lane.busy.add(kept)
            return done(kept, null)
        }
        if (lane.size >= limit) return done(null, "connection limit")
        open(server, lane, done)
    }

    /** Links with a request under way, by server. */
    public fun busyConnections(server: BackendServerId): Set<HttpConnection> = lanes[server]?.busy.orEmpty()

    /** Closes the idle connections to [server] and forgets it; requests under way go on. */
    public fun forget(server: BackendServerId) {
        lanes.remove(server)?.let { lane -> lane.idle.forEach { it.link.abandon() } }
    }

    /** Closes connections that were idle for too long. */
    public fun trim() {
        for (lane in lanes.values) {
            while (lane.idle.isNotEmpty() && expired(lane, lane.idle.first(), KEPT_SHARE)) {
                lane.idle.removeFirst().link.abandon()
            }
        }
    }

    private fun lane(server: Server): Lane {
        val known = lanes[server.id]
        if (known != null && known.born == server.entry.startedAtMillis) return known
        forget(server.id)
        return Lane(server.entry.startedAtMillis).also { lanes[server.id] = it }
    }

    private fun keptLink(lane: Lane, share: Double): HttpConnection? {
        while (lane.idle.isNotEmpty()) {
            val member = lane.idle.last()
            if (expired(lane, member, share)) return null
            lane.idle.removeLast()
            if (member.link.open) return member.link
        }
        return null
    }

    private fun expired(lane: Lane, member: Member, share: Double): Boolean {
        val keep = min(member.link.keepAliveMillis ?: Long.MAX_VALUE, lane.keepMillis)
        return now() - member.since > keep * share
    }

    private fun open(server: Server, lane: Lane, done: (HttpConnection?, String?) -> Unit) {
        lane.opening++
        opened++
        val id = server.id
        val link = HttpConnection(now, { idle(lane, id, it) }, { closed(lane, it) })
        connector.open(server.entry.host, server.entry.port, link) { failure ->
            lane.opening--
            if (failure == null) lane.busy.add(link)
            done(link.takeIf { failure == null }, failure)
        }
    }

    private fun idle(lane: Lane, server: BackendServerId, link: HttpConnection) {
        lane.busy.remove(link)
        if (lanes[server] !== lane) return link.abandon()
        lane.idle.addLast(Member(link, server, now()))
    }

    private fun closed(lane: Lane, link: HttpConnection) {
        lane.busy.remove(link)
        val member = lane.idle.find { it.link === link } ?: return
        lane.idle.remove(member)
        val lasted = now() - member.since
        if (lasted > SHORTEST_KEEP_MILLIS) lane.keepMillis = min(lane.keepMillis, lasted)
    }

    private companion object {
        /** Below the idle limits that servers usually have. */
        const val FIRST_KEEP_MILLIS = 8_000L

        /** A connection that is closed sooner was closed for another reason than idleness. */
        const val SHORTEST_KEEP_MILLIS = 500L

        /** Part of the server's idle limit for requests that can be repeated. */
        const val KEPT_SHARE = 0.75

        /** Part of the server's idle limit for requests that run at most once. */
        const val FRESH_SHARE = 0.5
    }
}
