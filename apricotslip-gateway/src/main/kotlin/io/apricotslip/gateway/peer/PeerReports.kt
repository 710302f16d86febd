package io.apricotslip.gateway.peer

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.gateway.exchange.WorkLedger
import io.apricotslip.gateway.order.OrderDesk
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.fleet.UseCounts
import io.apricotslip.serving.member.Members

/** What this node tells its peers about its work, and what they tell about theirs. */
internal class PeerReports(
    private val fleet: Fleet,
    private val members: Members,
    private val ledger: WorkLedger,
    private val now: () -> Long,
) {
    private val adapters = HashMap<VmId, Map<BackendServerId, Set<ServedAdapter>>>()

    /** The report of this node, which holds the orders of [orders]. */
    fun own(orders: OrderDesk): FleetMessage.Report {
        val uses = fleet.all.filter { it.own != UseCounts() }.map {
            FleetMessage.ServerUse(
                server = it.id,
                running = it.own.running,
                unread = it.own.unreadTokens,
                memory = it.own.memoryTokens,
                adapters = ledger.adapters(it.id).map(ServedAdapter::toString),
            )
        }
        return FleetMessage.Report(now(), members.live(now()), uses, orders.report())
    }

    /** Takes the [report] of [peer]. */
    fun heard(peer: VmId, report: FleetMessage.Report, orders: OrderDesk) {
        val now = now()
        members.told(report.peers, now)
        members.up(peer, report.upMillis, now)
        val uses = report.uses.associateBy { it.server }
        for (server in fleet.all) {
            val use = uses[server.id]
            val counts = use?.let { UseCounts(it.running, it.unread, it.memory) } ?: UseCounts()
            server.peerUses(peer, counts, now)
        }
        val used = report.uses.associate { use -> use.server to use.adapters.mapTo(HashSet(), ServedAdapter::parse) }
        adapters[peer] = used
        used.forEach { (server, names) -> orders.used(server, names, now) }
        report.claims.forEach { orders.heard(peer, it) }
    }

    /** Whether a request of any node that is heard uses [adapter] at [server]. */
    fun inUse(server: Server, adapter: ServedAdapter): Boolean =
        adapter in ledger.adapters(server.id) || adapters.values.any { adapter in it[server.id].orEmpty() }

    /** Forgets nodes that are not among [live], and tells [orders] which adapters this node uses. */
    fun tick(live: Collection<VmId>, orders: OrderDesk) {
        adapters.keys.retainAll(live.toSet())
        for (server in fleet.all) orders.used(server.id, ledger.adapters(server.id), now())
    }
}
