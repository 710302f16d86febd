package io.apricotslip.gateway.peer

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.AllowanceUse
import io.apricotslip.api.peer.CrashEvidence
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.api.peer.StoreProgress
import io.apricotslip.gateway.PublishedState
import io.apricotslip.gateway.help.FleetHelp
import io.apricotslip.gateway.order.OrderCoordinator
import io.apricotslip.serving.allowance.WorkspaceAllowances
import io.apricotslip.serving.crash.RequestQuarantine
import io.apricotslip.serving.fleet.AdapterDemand
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.fleet.ServerUtilization
import io.apricotslip.serving.limit.TrafficMeter
import io.apricotslip.serving.member.FleetExchangeState
import io.apricotslip.serving.pace.PaceExchangeState
import io.apricotslip.serving.timing.TimingExchangeState
import kotlin.math.max

/** Fills the reports of this node from its state, and applies those of other nodes to it. */
internal class PeerReports(
    private val fleet: Fleet,
    private val quarantine: RequestQuarantine,
    private val traffic: TrafficMeter,
    private val allowances: WorkspaceAllowances,
    paces: PaceExchangeState,
    timings: TimingExchangeState,
    private val help: () -> FleetHelp,
    private val published: () -> PublishedState,
    private val orders: () -> OrderCoordinator,
) : FleetExchangeState,
    PaceExchangeState by paces,
    TimingExchangeState by timings {
    private val serversBySource = HashMap<VmId, Set<BackendServerId>>()

    override fun ownUses(): List<FleetMessage.ServerUse> =
        fleet.all.filter { it.localUtilization != ServerUtilization() }.map { server ->
            FleetMessage.ServerUse(
                server = server.id,
                running = server.localUtilization.running,
                pendingPromptTokens = server.localUtilization.pendingPromptTokens,
                kvCacheTokens = server.localUtilization.kvCacheTokens,
                adapters = server.localAdaptersInUse.map { AdapterNames.encode(server, it) },
            )
        }

    override fun ownClaims(now: Long): List<FleetMessage.ServerClaim> = orders().ownClaims(now)

    override fun knownClaims(now: Long): List<FleetMessage.ServerClaim> = orders().knownClaims(now)

    override fun totals(now: Long): List<FleetMessage.ServerTotal> = fleet.all.mapNotNull { server ->
        val total = server.totalUtilization()
        val demand = server.adapterDemand()
        if (total == ServerUtilization() && demand.inUse == 0) return@mapNotNull null
        FleetMessage.ServerTotal(
            server = server.id,
            running = total.running,
            pendingPromptTokens = total.pendingPromptTokens,
            kvCacheTokens = total.kvCacheTokens,
            adaptersInUse = demand.inUse,
            adaptersPending = demand.pending,
        )
    }

    override fun applyUses(source: VmId, uses: List<FleetMessage.ServerUse>, now: Long) {
        for (use in uses) {
            val server = fleet[use.server] ?: continue
            val adapters = use.adapters.mapNotNullTo(HashSet()) { AdapterNames.decode(server, it) }
            server.recordPeerUse(source, utilizationOf(use), adapters)
            orders().recordUse(server.id, adapters, now)
        }
        replaceServers(source, uses.mapTo(HashSet()) { it.server })
    }

    override fun removeUses(source: VmId) = replaceServers(source, emptySet())

    override fun applyTotals(
        source: VmId,
        totals: List<FleetMessage.ServerTotal>,
        own: List<FleetMessage.ServerUse>,
        now: Long,
    ) {
        val ownByServer = own.associateBy { it.server }
        for (total in totals) {
            val server = fleet[total.server] ?: continue
            val demand = AdapterDemand(total.adaptersInUse, total.adaptersPending)
            server.recordPeerUse(source, withoutOwn(total, ownByServer[total.server]), demand = demand)
        }
        replaceServers(source, totals.mapTo(HashSet()) { it.server })
    }

    override fun applyClaim(via: VmId, claim: FleetMessage.ServerClaim, now: Long) =
        orders().onClaimReceived(via, claim)

    override fun ownAllowanceUse(now: Long): List<AllowanceUse> = allowances.ownUse(now)

    override fun applyAllowanceTotals(totals: List<AllowanceUse>, nodes: Int, now: Long) =
        allowances.applyFleet(totals, nodes, now)

    override fun ownRequests(now: Long): Int = traffic.ownRequests(now)

    override fun recordFleetRequests(nodes: Int, requests: Int, now: Long) = traffic.recordFleet(nodes, requests, now)

    override fun serverLimits(now: Long): List<FleetMessage.ServerLimit> = fleet.all
        .filter { now - it.requestLimit.statementAt() < LIMIT_TTL_MILLIS && it.requestLimit.everNamed }
        .map { server ->
            val limit = server.requestLimit
            FleetMessage.ServerLimit(
                server = server.id,
                startedAtMillis = server.entry.startedAtMillis,
                perSecond = limit.perSecond,
                ageMillis = now - limit.statementAt(),
            )
        }

    override fun applyServerLimits(limits: List<FleetMessage.ServerLimit>, now: Long) {
        for (limit in limits) {
            val server = incarnation(limit.server, limit.startedAtMillis) ?: continue
            server.requestLimit.recordStatement(limit.perSecond, now - limit.ageMillis, now)
        }
    }

    override fun brittleServers(now: Long): List<FleetMessage.BrittleServer> = fleet.all
        .filter { now - it.roomShare.statementAt() < LIMIT_TTL_MILLIS && it.roomShare.everNamed }
        .map { server ->
            val room = server.roomShare
            val age = now - room.statementAt()
            FleetMessage.BrittleServer(server.id, server.entry.startedAtMillis, room.maxRejectionsPerSecond, age)
        }

    override fun applyBrittleServers(servers: List<FleetMessage.BrittleServer>, now: Long) {
        for (brittle in servers) {
            val server = incarnation(brittle.server, brittle.startedAtMillis) ?: continue
            server.roomShare.recordStatement(brittle.rejectionsPerSecond, now - brittle.ageMillis)
        }
    }

    override fun ownHelper(): FleetMessage.Helper? = help().ownHelper()

    override fun isCutOff(): Boolean = help().reach.isCutOff

    override fun someHelpers(count: Int, now: Long): List<FleetMessage.Helper> = help().helpers.sample(count, now)

    override fun applyHelpers(helpers: List<FleetMessage.Helper>, now: Long) = help().helpers.record(helpers, now)

    override fun storeProgress(): StoreProgress? = published().progress()

    override fun applyStoreProgress(progress: StoreProgress, now: Long) = published().onReadElsewhere(progress)

    override fun crashEvidence(now: Long): CrashEvidence? = quarantine.evidence(now)

    override fun applyCrashEvidence(evidence: CrashEvidence, now: Long) = quarantine.merge(evidence, now)

    /** Records in [orders] which adapters this node uses. */
    fun recordLocalUse(now: Long) {
        for (server in fleet.all) orders().recordUse(server.id, server.localAdaptersInUse, now)
    }

    private fun incarnation(id: BackendServerId, startedAtMillis: Long) =
        fleet[id]?.takeIf { it.entry.startedAtMillis == startedAtMillis }

    private fun replaceServers(source: VmId, servers: Set<BackendServerId>) {
        val before = if (servers.isEmpty()) serversBySource.remove(source) else serversBySource.put(source, servers)
        before?.forEach { if (it !in servers) fleet[it]?.removePeerUse(source) }
    }

    private fun utilizationOf(use: FleetMessage.ServerUse) =
        ServerUtilization(use.running, use.pendingPromptTokens, use.kvCacheTokens)

    /** [total] less the work of this node that it contains; the report of that work may differ from it a little. */
    private fun withoutOwn(total: FleetMessage.ServerTotal, own: FleetMessage.ServerUse?) = ServerUtilization(
        running = max(0, total.running - (own?.running ?: 0)),
        pendingPromptTokens = max(0, total.pendingPromptTokens - (own?.pendingPromptTokens ?: 0)),
        kvCacheTokens = max(0, total.kvCacheTokens - (own?.kvCacheTokens ?: 0)),
    )

    private companion object {
        /** A server that answered no node for longer tells at its next answer whether the limit still holds. */
        const val LIMIT_TTL_MILLIS = 10_000L
    }
}
