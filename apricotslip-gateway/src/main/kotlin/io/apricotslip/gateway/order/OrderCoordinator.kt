package io.apricotslip.gateway.order

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.gateway.observe.DecisionLog
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.member.Members
import io.apricotslip.serving.order.AdapterSlots
import io.apricotslip.serving.order.OrderClaims
import io.apricotslip.serving.state.DesiredState
import io.apricotslip.serving.state.ServiceSpec

/** The backend servers whose orders this node gives, and the claims by which it does. */
internal class OrderCoordinator(
    private val fleet: Fleet,
    private val claims: OrderClaims,
    private val desired: () -> DesiredState?,
    private val log: DecisionLog,
    desk: (refused: (Server) -> Unit) -> ServerOrders.Context,
) {
    private val shared = desk(::refused)
    private val held = HashMap<BackendServerId, ServerOrders>()

    /** The orders for [server] if this node gives them. */
    fun held(server: BackendServerId): ServerOrders? = held[server]

    /** The node that gives the orders for [server], as far as known. */
    fun holder(server: BackendServerId): VmId? = claims.holder(server)

    /** Claims what no other node holds, and drops what is gone. */
    fun tick(live: Collection<VmId>, members: Members, wallSeconds: Long) {
        val now = shared.now()
        dropGone()
        val engines = fleet.all.filter { spec(it) != null && it.leavingSince == null }.map { it.id }
        if (members.hearsAtLeastHalf(now)) claims.claim(engines, live, members.allFreshlyStarted(now), wallSeconds, now)
        engines.filter { it !in held }.forEach(::take)
        held.values.toList().forEach {
            it.tick()
            loadModel(it)
        }
    }

    /** Takes note that requests use [adapters] at [server]. */
    fun recordUse(server: BackendServerId, adapters: Collection<ServedAdapter>, now: Long) {
        val places = held[server]?.places ?: return
        adapters.forEach { places.recordUse(it, now) }
    }

    /** Takes what a peer claims. */
    fun onClaimReceived(peer: VmId, claim: FleetMessage.ServerClaim) {
        val now = shared.now()
        if (claims.onClaimReceived(claim.server, peer, claim.fence, now)) drop(claim.server, "claimed by $peer")
        val server = fleet[claim.server] ?: return
        if (claims.holder(claim.server) != peer || server.entry.startedAtMillis != claim.born) return
        server.applyHolderReport(
            claim.resident.mapKeys { ServedAdapter.parse(it.key) },
            claim.incoming.mapTo(HashSet(), ServedAdapter::parse),
            now,
        )
    }

    /** What this node claims, for its peers. */
    fun ownClaims(): List<FleetMessage.ServerClaim> = held.values.map {
        FleetMessage.ServerClaim(
            server = it.server.id,
            born = it.server.entry.startedAtMillis,
            fence = claims.ownFence(it.server.id) ?: FenceNumber(0),
            resident = it.places.resident.mapKeys { (adapter, _) -> adapter.toString() },
            incoming = it.places.loading.map(ServedAdapter::toString),
        )
    }

    /** Has [adapter] replaced by [version] where it is older. */
    fun replaceOlderVersions(adapter: ServedAdapter, version: Long) {
        held.values.toList().forEach { orders ->
            val present = orders.places.resident[adapter] ?: return@forEach
            if (present < version) orders.renew(adapter, version)
        }
    }

    /** Gives all claims up. */
    fun releaseAll() {
        held.keys.toList().forEach { drop(it, "stopping") }
        claims.releaseAll()
    }

    private fun take(id: BackendServerId) {
        val fence = claims.ownFence(id) ?: return
        val server = fleet[id] ?: return
        val spec = spec(server) ?: return
        val places = AdapterSlots(spec.usableAdapterSlots(server.entry.models))
        held[id] = ServerOrders(server, places, fence, shared).also(ServerOrders::begin)
        log.write { "event=claim server=$id fence=$fence adapters=${server.entry.adapters.size}" }
    }

    /** Orders weights for a server that came back empty. */
    private fun loadModel(orders: ServerOrders) {
        if (orders.server.entry.models.isNotEmpty()) return
        val spec = spec(orders.server) ?: return
        val peers = fleet.serversNotLeaving(orders.server.entry.service)
        val model = spec.models.minByOrNull { model -> peers.count { model.id in it.entry.models } } ?: return
        orders.model(ServedAdapter(model.id, null))
    }

    private fun dropGone() {
        val gone = held.values.filter { fleet[it.server.id] !== it.server || it.server.leavingSince != null }
        gone.forEach { drop(it.server.id, "gone") }
    }

    private fun refused(server: Server) {
        claims.onFenceRefused(server.id, shared.now())
        drop(server.id, "fence refused")
    }

    private fun drop(id: BackendServerId, reason: String) {
        val orders = held.remove(id) ?: return
        log.write { "event=claim_dropped server=$id reason=\"$reason\"" }
        orders.close(reason)
    }

    private fun spec(server: Server): ServiceSpec.EngineSpec? = desired()?.services?.get(server.entry.service)?.engine
}
