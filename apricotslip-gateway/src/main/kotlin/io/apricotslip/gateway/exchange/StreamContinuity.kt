package io.apricotslip.gateway.exchange

import io.apricotslip.api.peer.StreamOrigin
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.state.RouteKind

/**
 * Keeps the events of one stream at servers that fit the one that wrote the first of them.
 *
 * @param takenUp what began the stream that the caller takes up; null for a new one.
 */
internal class StreamContinuity(
    private val context: ExchangeContext,
    private val route: Route,
    private val requestId: String?,
    private val takenUp: StreamOrigin?,
) {
    private var origin: StreamOrigin? = takenUp
    private var recorded = false

    /** Whether the caller has got a part of the stream from an earlier attempt. */
    val isTakenUp: Boolean get() = takenUp != null

    /** Whether any server may write the next event. */
    val unbound: Boolean get() = origin == null

    /** Whether [server] may write the next event. */
    fun allows(server: Server): Boolean = origin.let { it == null || it == server.streamOrigin }

    /** Handles that the caller gets events of [server]. */
    fun onEvent(server: Server) {
        if (route.kind != RouteKind.STREAM || recorded) return
        recorded = true
        record(origin ?: server.streamOrigin.also { origin = it })
    }

    /**
     * Whether events that arrive from [server] are known to be of its version: false when a process of another version
     * has started under its id, which may be the one that writes them. The stream goes on nowhere then.
     */
    fun trusts(server: Server): Boolean {
        if (route.kind != RouteKind.STREAM) return true
        val current = context.servers.fleet[server.id]?.takeIf { it !== server } ?: return true
        if (current.streamOrigin == server.streamOrigin) return true
        if (recorded) record(current.streamOrigin)
        return false
    }

    private fun record(origin: StreamOrigin) {
        requestId?.let { context.streams.recordBegun(it, origin, route) }
    }
}
