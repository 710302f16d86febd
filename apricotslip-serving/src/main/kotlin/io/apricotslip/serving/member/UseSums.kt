package io.apricotslip.serving.member

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.peer.FleetMessage.ServerUse

/** Sums the work of several nodes by backend server. */
internal object UseSums {
    private class Sum(val server: BackendServerId) {
        var running = 0
        var pendingPromptTokens = 0L
        var kvCacheTokens = 0L
        val adapters = LinkedHashSet<String>()

        fun add(use: ServerUse) {
            running += use.running
            pendingPromptTokens += use.pendingPromptTokens
            kvCacheTokens += use.kvCacheTokens
            adapters += use.adapters
        }

        fun toUse() = ServerUse(server, running, pendingPromptTokens, kvCacheTokens, adapters.toList())
    }

    fun sum(usesOfNodes: List<List<ServerUse>>): List<ServerUse> {
        val sums = LinkedHashMap<BackendServerId, Sum>()
        for (uses in usesOfNodes) for (use in uses) sums.getOrPut(use.server) { Sum(use.server) }.add(use)
        return sums.values.map(Sum::toUse)
    }
}
