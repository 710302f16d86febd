package io.apricotslip.gateway.caller

import io.apricotslip.serving.state.CallerLimits

/** What the connections of callers share. */
internal class CallerContext(
    val handler: CallerHandler,
    val limits: () -> CallerLimits,
    val now: () -> Long,
    private val maxBodyBytes: Long,
) {
    private val connections = HashSet<CallerConnection>()
    private var bodyBytes = 0L

    /** Number of open connections. */
    val size: Int
        get() = connections.size

    fun opened(connection: CallerConnection) {
        connections.add(connection)
    }

    fun closed(connection: CallerConnection) {
        connections.remove(connection)
    }

    /** Runs [action] for each open connection. */
    fun each(action: (CallerConnection) -> Unit) {
        connections.toList().forEach(action)
    }

    /** Whether a body of [bytes] fits into the memory that is left. */
    fun hasRoom(bytes: Long): Boolean = bodyBytes + bytes <= maxBodyBytes

    /** Reserves memory for [bytes] of a body; false when there is none. */
    fun reserveBody(bytes: Long): Boolean {
        if (!hasRoom(bytes)) return false
        bodyBytes += bytes
        return true
    }

    fun releaseBody(bytes: Long) {
        bodyBytes -= bytes
    }
}
