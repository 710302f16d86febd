package io.apricotslip.gateway.exchange

import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.fleet.ServerUtilization

/** The place of one request at [server], counted from the choice of the server until the final answer. */
internal class Reservation(
    private val server: Server,
    private val adapter: ServedAdapter?,
    private val promptTokens: Int,
    private val outputTokens: Int,
) {
    private var unread = true
    private var open = true

    init {
        server.localUtilization += ServerUtilization(1, promptTokens.toLong(), (promptTokens + outputTokens).toLong())
        adapter?.let(server::retainAdapter)
    }

    /** The first event came: the prompt is read. */
    fun read() {
        if (!unread || !open) return
        unread = false
        server.localUtilization += ServerUtilization(pendingPromptTokens = -promptTokens.toLong())
    }

    /** The request is over at this server. */
    fun release() {
        if (!open) return
        read()
        open = false
        server.localUtilization +=
            ServerUtilization(running = -1, kvCacheTokens = -(promptTokens + outputTokens).toLong())
        adapter?.let(server::releaseAdapter)
    }
}
