package io.apricotslip.gateway.order

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.gateway.observe.DecisionLog
import io.apricotslip.gateway.peer.AdapterNames
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.member.FleetExchange
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

    /**
     * The node to which load requests for [server] go: the holder of its orders or a node that passes them on. Null
     * when the holder is unknown or was not heard lately.
     */
    fun nextHop(server: BackendServerId): VmId? =
        claims.nextHop(server)?.takeIf { claims.ageMillis(server, context.now()) < MAX_CLAIM_AGE_MILLIS }

    /** Claims servers that no other node holds, and releases those that were removed or are leaving. */
    fun tick(exchange: FleetExchange, wallSeconds: Long) {
        val now = context.now()
        releaseRemoved()
        if (!exchange.hub) releaseAll()
        val engines = fleet.all.filter { engineSpec(it) != null && it.leavingSince == null }.map { it.id }
        if (exchange.mayClaim(now)) {
            claims.claim(engines, exchange.orderingHubs(now), exchange.allFreshlyStarted(now), wallSeconds, now) {
                exchange.isHeardByOthersOnly(it, now)
            }
        }
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

    /** Handles a claim that [via] passed on; releases the server when it supersedes that of this node. */
    fun onClaimReceived(via: VmId, claim: FleetMessage.ServerClaim) {
        val now = context.now()
        val statedAt = now - claim.ageMillis
        if (claims.onClaimReceived(claim.server, claim.holder, claim.fence, now, statedAt, via)) {
            release(claim.server, "claimed by ${claim.holder}")
        }
        val server = fleet[claim.server] ?: return
        if (claims.holder(claim.server) != claim.holder || server.entry.startedAtMillis != claim.startedAtMillis) return
        val slots = claim.slots ?: return server.recordHolderHeard(now)
        server.applyHolderReport(
            slots.resident.entries.mapNotNull { (name, version) ->
                AdapterNames.decode(server, name)?.to(version)
            }.toMap(),
            slots.loading.mapNotNullTo(HashSet()) { AdapterNames.decode(server, it) },
            now,
        )
    }

    /** The claims of this node. */
    fun ownClaims(now: Long): List<FleetMessage.ServerClaim> = heldServers.values.map { claimOf(it.server, now) }

    /** The claims of all nodes that were heard lately. */
    fun knownClaims(now: Long): List<FleetMessage.ServerClaim> = fleet.all
        .filter { claims.holder(it.id) != null && claims.ageMillis(it.id, now) < MAX_CLAIM_AGE_MILLIS }
        .map { claimOf(it, now) }

    /**
     * The claim on [server]; with its adapters when they changed shortly before, and every [SLOTS_REFRESH_MILLIS] for
     * nodes that have just joined.
     */
    private fun claimOf(server: Server, now: Long): FleetMessage.ServerClaim {
        val refresh =
            (now + server.id.hashCode().mod(SLOTS_REFRESH_MILLIS)) % SLOTS_REFRESH_MILLIS < REFRESH_SPAN_MILLIS
        val slots = if (refresh || now - server.slotsChangedAt < SLOTS_REPEAT_MILLIS) slotsOf(server) else null
        return FleetMessage.ServerClaim(
            server = server.id,
            holder = claims.holder(server.id) ?: context.self,
            startedAtMillis = server.entry.startedAtMillis,
            fence = claims.fence(server.id) ?: FenceNumber(0),
            ageMillis = claims.ageMillis(server.id, now),
            slots = slots,
        )
    }

    private fun slotsOf(server: Server) = FleetMessage.ServerSlots(
        resident = server.adapters.mapKeys { (adapter, _) -> AdapterNames.encode(server, adapter) },
        loading = server.loading.map { AdapterNames.encode(server, it) },
    )

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

    private companion object {
        /** A few intervals of each of the nodes that pass a claim on. */
        const val MAX_CLAIM_AGE_MILLIS = 1_200L

        /** Interval in which the adapters of each claim are sent again without a change. */
        const val SLOTS_REFRESH_MILLIS = 2_000L

        /** At least one interval of reports, so that no refresh is left out. */
        const val REFRESH_SPAN_MILLIS = 200L

        /** A few intervals of reports, in case one is lost. */
        const val SLOTS_REPEAT_MILLIS = 450L
    }
}
