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

/** Claims backend servers for this node and manages the orders for those that it holds. */
internal class OrderCoordinator(
    private val fleet: Fleet,
    private val claims: OrderClaims,
    private val desiredState: () -> DesiredState?,
    private val log: DecisionLog,
    contextFactory: (onFenced: (Server) -> Unit) -> ServerOrders.Context,
) {
    private val context = contextFactory(::onFenced)
    private val heldServers = HashMap<BackendServerId, ServerOrders>()

    /** The orders for [server], or null when this node does not hold it. */
    fun ordersFor(server: BackendServerId): ServerOrders? = heldServers[server]

    /** The node that gives the orders for [server], or null when it is unknown. */
    fun holder(server: BackendServerId): VmId? = claims.holder(server)

    /** Claims servers that no other node holds, and releases those that were removed or are leaving. */
    fun tick(live: Collection<VmId>, members: Members, wallSeconds: Long) {
        val now = context.now()
        releaseRemoved()
        val engines = fleet.all.filter { engineSpec(it) != null && it.leavingSince == null }.map { it.id }
        if (members.hearsAtLeastHalf(now)) claims.claim(engines, live, members.allFreshlyStarted(now), wallSeconds, now)
        engines.filter { it !in heldServers }.forEach(::startOrders)
        heldServers.values.toList().forEach {
            it.tick()
            loadMissingModel(it)
        }
    }

    /** Records that requests use [adapters] on [server]. */
    fun recordUse(server: BackendServerId, adapters: Collection<ServedAdapter>, now: Long) {
        val slots = heldServers[server]?.slots ?: return
        adapters.forEach { slots.recordUse(it, now) }
    }

    /** Handles a claim that [peer] reports; releases the server when the claim supersedes that of this node. */
    fun onClaimReceived(peer: VmId, claim: FleetMessage.ServerClaim) {
        val now = context.now()
        if (claims.onClaimReceived(claim.server, peer, claim.fence, now)) release(claim.server, "claimed by $peer")
        val server = fleet[claim.server] ?: return
        if (claims.holder(claim.server) != peer || server.entry.startedAtMillis != claim.startedAtMillis) return
        server.applyHolderReport(
            claim.resident.mapKeys { ServedAdapter.parse(it.key) },
            claim.loading.mapTo(HashSet(), ServedAdapter::parse),
            now,
        )
    }

    /** The claims of this node, for its peers. */
    fun ownClaims(): List<FleetMessage.ServerClaim> = heldServers.values.map {
        FleetMessage.ServerClaim(
            server = it.server.id,
            startedAtMillis = it.server.entry.startedAtMillis,
            fence = claims.ownFence(it.server.id) ?: FenceNumber(0),
            resident = it.slots.resident.mapKeys { (adapter, _) -> adapter.toString() },
            loading = it.slots.loading.map(ServedAdapter::toString),
        )
    }

    /** Triggers the replacement of versions of [adapter] older than [version] on all held servers. */
    fun replaceOlderVersions(adapter: ServedAdapter, version: Long) {
        heldServers.values.toList().forEach { orders ->
            val present = orders.slots.resident[adapter] ?: return@forEach
            if (present < version) orders.replace(adapter, version)
        }
    }

    /** Releases all claims. */
    fun releaseAll() {
        heldServers.keys.toList().forEach { release(it, "stopping") }
        claims.releaseAll()
    }

    private fun startOrders(id: BackendServerId) {
        val fence = claims.ownFence(id) ?: return
        val server = fleet[id] ?: return
        val spec = engineSpec(server) ?: return
        val slots = AdapterSlots(spec.usableAdapterSlots(server.entry.models))
        heldServers[id] = ServerOrders(server, slots, fence, context).also(ServerOrders::start)
        log.write { "event=claim server=$id fence=$fence adapters=${server.entry.adapters.size}" }
    }

    /** Orders the weights of the rarest model for a server that restarted without any. */
    private fun loadMissingModel(orders: ServerOrders) {
        if (orders.server.entry.models.isNotEmpty()) return
        val spec = engineSpec(orders.server) ?: return
        val peers = fleet.serversNotLeaving(orders.server.entry.service)
        val model = spec.models.minByOrNull { model -> peers.count { model.id in it.entry.models } } ?: return
        orders.loadModel(ServedAdapter(model.id, null))
    }

    private fun releaseRemoved() {
        val removed = heldServers.values.filter { fleet[it.server.id] !== it.server || it.server.leavingSince != null }
        removed.forEach { release(it.server.id, "gone") }
    }

    private fun onFenced(server: Server) {
        claims.onFenceRefused(server.id, context.now())
        release(server.id, "fence refused")
    }

    private fun release(id: BackendServerId, reason: String) {
        val orders = heldServers.remove(id) ?: return
        log.write { "event=claim_dropped server=$id reason=\"$reason\"" }
        orders.close(reason)
    }

    private fun engineSpec(server: Server): ServiceSpec.EngineSpec? =
        desiredState()?.services?.get(server.entry.service)?.engine
}
