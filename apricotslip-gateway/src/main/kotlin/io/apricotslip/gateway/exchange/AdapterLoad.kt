package io.apricotslip.gateway.exchange

import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.placement.PlacementDecision

/** Loads the adapter of the request of [exchange] to the server that was selected for it. */
internal class AdapterLoad(
    private val exchange: Exchange,
    private val context: ExchangeContext,
    private val placement: Placement,
    private val timing: Placement.Timing,
    private val counts: AttemptCounts,
    private val triedServers: TriedServers,
) {
    /**
     * Requests the load of [adapter] that was decided and reserves capacity for the request, whose progress is
     * [progress]; [done] learns whether it is loaded, unless the reservation was replaced meanwhile.
     */
    fun start(
        decision: PlacementDecision.LoadAdapter,
        adapter: ServedAdapter,
        progress: Placement.Progress,
        done: (loaded: Boolean) -> Unit,
    ) {
        val server = decision.server
        val loadRequest = placement.loadRequest(adapter, decision.queueMillis, timing, progress, context.now())
        counts.loadRequests++
        val reserved = exchange.attempts.reserve(server)
        val requestedAt = context.now()
        context.servers.adapterLoader.load(server, loadRequest, triedServers.missingAdapter === server) { failure ->
            if (exchange.attempts.reservation !== reserved) return@load
            val detail = "server=${server.id} adapter=$adapter waited_ms=${context.now() - requestedAt}"
            if (failure == null) {
                exchange.log("loaded", detail)
                return@load done(true)
            }
            exchange.log("load_failed", "$detail reason=$failure")
            triedServers.exclude(server, "load: $failure")
            exchange.attempts.releaseCurrent()
            done(false)
        }
    }
}
