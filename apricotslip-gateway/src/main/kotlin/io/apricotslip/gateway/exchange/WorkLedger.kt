package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.fleet.UseCounts

/** The work that this node has at each backend server. */
public class WorkLedger {
    private val adapters = HashMap<BackendServerId, HashMap<ServedAdapter, Int>>()

    /** A place at [server], taken from the choice of the server until the final answer. */
    public inner class Reservation internal constructor(
        public val server: Server,
        private val adapter: ServedAdapter?,
        private val promptTokens: Int,
        private val outputTokens: Int,
    ) {
        private var unread = true
        private var open = true

        /** The first event came: the prompt is read. */
        public fun read() {
            if (!unread || !open) return
            unread = false
            server.own += UseCounts(unreadTokens = -promptTokens.toLong())
        }

        /** The request is over at this server. */
        public fun release() {
            if (!open) return
            read()
            open = false
            server.own += UseCounts(running = -1, memoryTokens = -(promptTokens + outputTokens).toLong())
            if (adapter != null) count(server.id, adapter, -1)
        }
    }

    /** Takes a place at [server]. */
    public fun reserve(server: Server, adapter: ServedAdapter?, promptTokens: Int, outputTokens: Int): Reservation {
        server.own += UseCounts(1, promptTokens.toLong(), (promptTokens + outputTokens).toLong())
        if (adapter != null) count(server.id, adapter, 1)
        return Reservation(server, adapter, promptTokens, outputTokens)
    }

    /** Adapters that requests of this node use at [server]. */
    public fun adapters(server: BackendServerId): Set<ServedAdapter> = adapters[server]?.keys.orEmpty()

    private fun count(server: BackendServerId, adapter: ServedAdapter, change: Int) {
        val counts = adapters.getOrPut(server) { HashMap() }
        val left = (counts[adapter] ?: 0) + change
        if (left > 0) counts[adapter] = left else counts.remove(adapter)
        if (counts.isEmpty()) adapters.remove(server)
    }
}
