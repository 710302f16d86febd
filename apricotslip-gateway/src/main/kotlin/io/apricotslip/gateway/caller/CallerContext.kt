package io.apricotslip.gateway.caller

import io.apricotslip.serving.state.CallerLimits
import io.netty.handler.codec.http.HttpHeaders

/** State and settings that all connections of a [CallerServer] share. */
internal class CallerContext(
    val handler: CallerHandler,
    val limits: () -> CallerLimits,
    val now: () -> Long,
    private val maxBodyBytes: Long,
    val requestId: (HttpHeaders) -> String? = { null },
) {
    /** Whether the node is stopping, so that the last response on each connection announces its close. */
    var draining = false

    /** Whether the node accepts no further requests, so that each response announces the close. */
    var closing = false

    private val connections = HashSet<CallerConnection>()
    private var bodyBytes = 0L

    /** Number of open connections. */
    val size: Int
        get() = connections.size

    fun add(connection: CallerConnection) {
        connections.add(connection)
    }

    fun remove(connection: CallerConnection) {
        connections.remove(connection)
    }

    /** Runs [action] for each open connection. */
    fun forEach(action: (CallerConnection) -> Unit) {
        connections.toList().forEach(action)
    }

    /** Whether a body of [bytes] fits into the remaining memory for bodies. */
    fun hasCapacity(bytes: Long): Boolean = bodyBytes + bytes <= maxBodyBytes

    /** Reserves memory for [bytes] of a body; returns false if too little is left. */
    fun reserveBody(bytes: Long): Boolean {
        if (!hasCapacity(bytes)) return false
        bodyBytes += bytes
        return true
    }

    fun releaseBody(bytes: Long) {
        bodyBytes -= bytes
    }
}
