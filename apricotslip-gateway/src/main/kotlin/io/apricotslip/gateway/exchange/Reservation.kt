package io.apricotslip.gateway.exchange

import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.fleet.ServerUtilization

/** The capacity that one request occupies at [server], from the selection of the server until the final response. */
internal class Reservation(
    private val server: Server,
    metadata: RequestMetadata,
    private val pace: PaceRecorder,
    private val now: () -> Long,
) {
    private val adapter = metadata.adapter
    private val promptTokens = metadata.promptTokens
    private val outputTokens = metadata.maxOutputTokens
    private var sent = false
    private var promptPending = true
    private var active = true

    init {
        server.localUtilization += ServerUtilization(1, promptTokens.toLong(), (promptTokens + outputTokens).toLong())
        adapter?.let(server::retainAdapter)
        server.requestLimit.take(now())
    }

    /** Records that the request was sent, so that the permit of a server with a limit is used. */
    fun onSent() {
        sent = true
        pace.recordSent(server, promptTokens)
    }

    /** Stops counting the prompt as pending: the first event shows that the engine has processed it. */
    fun onPromptProcessed() {
        if (!promptPending || !active) return
        promptPending = false
        server.localUtilization += ServerUtilization(pendingPromptTokens = -promptTokens.toLong())
    }

    /** Releases the capacity; has no effect when called again. */
    fun release() {
        if (!active) return
        onPromptProcessed()
        active = false
        if (!sent) server.requestLimit.refund(now())
        val reservedTokens = promptTokens + outputTokens
        server.localUtilization += ServerUtilization(running = -1, kvCacheTokens = -reservedTokens.toLong())
        adapter?.let(server::releaseAdapter)
    }
}
