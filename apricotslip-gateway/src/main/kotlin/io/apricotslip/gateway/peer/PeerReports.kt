package io.apricotslip.gateway.peer

import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.gateway.order.OrderCoordinator
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.fleet.ServerUtilization
import io.apricotslip.serving.member.Members

/** Creates the reports of this node for its peers, and applies the reports of the peers. */
internal class PeerReports(private val fleet: Fleet, private val members: Members, private val now: () -> Long) {
    /** Creates the report of this node, including the claims that it holds in [orders]. */
    fun create(orders: OrderCoordinator): FleetMessage.Report {
        val uses = fleet.all.filter { it.localUtilization != ServerUtilization() }.map {
            FleetMessage.ServerUse(
                server = it.id,
                running = it.localUtilization.running,
                pendingPromptTokens = it.localUtilization.pendingPromptTokens,
                kvCacheTokens = it.localUtilization.kvCacheTokens,
                adapters = it.localAdaptersInUse.map(ServedAdapter::toString),
            )
        }
        return FleetMessage.Report(now(), members.live(now()), uses, orders.ownClaims())
    }

    /** Applies the [report] of [peer]. */
    fun onReport(peer: VmId, report: FleetMessage.Report, orders: OrderCoordinator) {
        val now = now()
        members.recordKnownPeers(report.peers, now)
        members.recordUptime(peer, report.uptimeMillis, now)
        val uses = report.uses.associateBy { it.server }
        for (server in fleet.all) {
            val use = uses[server.id]
            val utilization =
                use?.let { ServerUtilization(it.running, it.pendingPromptTokens, it.kvCacheTokens) }
                    ?: ServerUtilization()
            val adapters = use?.adapters?.mapTo(HashSet(), ServedAdapter::parse).orEmpty()
            server.recordPeerUtilization(peer, utilization, adapters, now)
            orders.recordUse(server.id, adapters, now)
        }
        report.claims.forEach { orders.onClaimReceived(peer, it) }
    }

    /** Records in [orders] which adapters this node uses. */
    fun recordLocalUse(orders: OrderCoordinator) {
        for (server in fleet.all) orders.recordUse(server.id, server.localAdaptersInUse, now())
    }
}
