package io.apricotslip.gateway.observe

import io.apricotslip.api.id.RequestTrait
import io.apricotslip.gateway.exchange.ExchangeRouter
import io.apricotslip.gateway.exchange.PaceRecorder
import io.apricotslip.gateway.server.ServerConnectionPool
import io.apricotslip.serving.crash.RequestQuarantine
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.member.FleetExchange
import io.apricotslip.serving.order.OrderClaims
import io.apricotslip.serving.timing.FleetTimings

/** Gauges of a gateway's state. */
internal object GatewayGauges {
    fun register(
        metrics: GatewayMetrics,
        exchanges: ExchangeRouter,
        exchange: FleetExchange,
        fleet: Fleet,
        claims: OrderClaims,
        pool: ServerConnectionPool,
        now: () -> Long,
    ) {
        metrics.gauge("apricotslip_open_exchanges", "Requests under way.") { exchanges.openCount.toDouble() }
        metrics.gauge("apricotslip_live_nodes", "Nodes heard lately.") { exchange.size(now()).toDouble() }
        metrics.gauge("apricotslip_hub", "Whether this node is a hub.") { if (exchange.hub) 1.0 else 0.0 }
        metrics.gauge("apricotslip_servers", "Backend servers believed in.") { fleet.all.size.toDouble() }
        metrics.gauge("apricotslip_held_servers", "Backend servers claimed.") { claims.heldServers().size.toDouble() }
        metrics.gauge("apricotslip_server_connections", "Connections opened.") { pool.openedCount.toDouble() }
    }

    /** Registered only where servers get limits, so that nothing changes elsewhere. */
    fun registerPace(metrics: GatewayMetrics, pace: PaceRecorder) {
        val help = "Requests that all nodes may have in flight at a server that just started or recovered."
        metrics.gauges("apricotslip_server_pace_limit", help, "server", pace::limits)
    }

    /** Registered only where the nodes join their measurements, so that nothing changes elsewhere. */
    fun registerTimings(metrics: GatewayMetrics, timings: FleetTimings) {
        val slowness = "Time a server takes for the same work, in relation to the mean of its peers."
        metrics.gauges("apricotslip_server_relative_time", slowness, "server", timings::slowness)
        val failures = "Share of the responses of a server to all nodes that failed."
        metrics.gauges("apricotslip_server_failure_share", failures, "server", timings::failureShares)
    }

    fun registerQuarantine(metrics: GatewayMetrics, quarantine: RequestQuarantine, now: () -> Long) {
        val active = { quarantine.activeTraits(now()) }
        metrics.gauge("apricotslip_quarantined_requests", "Whole requests in quarantine.") {
            active().count(RequestTrait::isWholeRequest).toDouble()
        }
        metrics.gauge("apricotslip_quarantined_parts", "Prompt parts in quarantine.") {
            active().count { !it.isWholeRequest }.toDouble()
        }
    }
}
