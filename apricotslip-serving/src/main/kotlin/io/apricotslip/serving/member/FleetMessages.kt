package io.apricotslip.serving.member

import io.apricotslip.api.id.WorkspaceId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.peer.AllowanceUse
import io.apricotslip.api.peer.FleetMessage.Digest
import io.apricotslip.api.peer.FleetMessage.Helper
import io.apricotslip.api.peer.FleetMessage.HubEntry
import io.apricotslip.api.peer.FleetMessage.Report
import io.apricotslip.api.peer.FleetMessage.ServerUse
import io.apricotslip.api.peer.ServerTimingUse
import io.apricotslip.api.peer.StoreProgress
import io.apricotslip.serving.timing.TimingSums

/** A report of another node and when it was heard. */
internal class HeardReport(val report: Report, val heardAt: Long)

/** Fills the messages of a node from [state]. */
internal class FleetMessages(
    private val zone: ZoneId,
    private val weight: Int,
    private val state: FleetExchangeState,
) {
    private var namedHelpers = 0

    /** The report of this node to its hub. */
    fun nodeReport(uses: List<ServerUse>, hubs: List<HubEntry>, now: Long) = Report(
        zone = zone,
        weight = weight,
        uptimeMillis = now,
        uses = uses,
        claims = state.ownClaims(now),
        hubs = hubs,
        crashes = state.crashEvidence(now),
        requests = state.ownRequests(now),
        limits = state.serverLimits(now),
        brittle = state.brittleServers(now),
        store = state.storeProgress(),
        helpers = listOfNotNull(state.ownHelper()),
        cutOff = state.isCutOff(),
        allowances = state.ownAllowanceUse(now),
        paces = state.reportPaces(now),
        timings = state.ownTimings(now),
    )

    /** The report of this hub and of [nodes], which report to it. */
    fun cellReport(nodes: List<HeardReport>, hubs: List<HubEntry>, now: Long): Report {
        val claims = nodes.flatMap { node ->
            node.report.claims.map { it.copy(ageMillis = it.ageMillis + now - node.heardAt) }
        }
        return Report(
            zone = zone,
            weight = weight,
            uptimeMillis = now,
            hub = true,
            nodes = 1 + nodes.size,
            maxUptimeMillis = maxOf(now, nodes.maxOfOrNull { it.report.uptimeMillis } ?: 0),
            uses = UseSums.sum(nodes.map { it.report.uses } + listOf(state.ownUses())),
            claims = claims + state.ownClaims(now),
            hubs = hubs,
            crashes = state.crashEvidence(now),
            requests = state.ownRequests(now) + nodes.sumOf { it.report.requests },
            limits = state.serverLimits(now),
            brittle = state.brittleServers(now),
            store = newestProgress(nodes),
            helpers = someHelpers(nodes, now),
            cutOff = state.isCutOff(),
            allowances = allowances(nodes, now),
            paces = state.reportPaces(now),
            timings = timings(nodes, now),
        )
    }

    /** This node and those of [nodes] in turn, so that hubs learn of each as often as of any other. */
    private fun someHelpers(nodes: List<HeardReport>, now: Long): List<Helper> {
        val ofNodes = nodes.flatMap { node ->
            node.report.helpers.map { it.copy(ageMillis = it.ageMillis + now - node.heardAt) }
        }
        val all = (listOfNotNull(state.ownHelper()) + ofNodes).sortedBy { it.vm.value }
        val named = List(minOf(HELPERS_PER_REPORT, all.size)) { all[(namedHelpers + it) % all.size] }
        namedHelpers = (namedHelpers + named.size) % maxOf(1, all.size)
        return named
    }

    private fun newestProgress(reports: Collection<HeardReport>): StoreProgress? =
        (reports.mapNotNull { it.report.store } + listOfNotNull(state.storeProgress()))
            .reduceOrNull(StoreProgress::merge)

    /**
     * The digest of a hub: [nodes] nodes of the fleet received [requests] requests; [reports] are those of all its
     * peers.
     */
    fun digest(nodes: Int, requests: Int, reports: Collection<HeardReport>, hubs: List<HubEntry>, now: Long) = Digest(
        nodes = nodes,
        totals = state.totals(now),
        claims = state.knownClaims(now),
        hubs = hubs,
        crashes = state.crashEvidence(now),
        requests = requests,
        limits = state.serverLimits(now),
        brittle = state.brittleServers(now),
        store = newestProgress(reports),
        helpers = state.someHelpers(HELPERS_PER_DIGEST, now),
        allowances = allowances(reports, now),
        paces = state.digestPaces(now),
        timings = timings(reports, now),
    )

    /** What workspaces sent to this node and to those of [reports]. */
    private fun allowances(reports: Collection<HeardReport>, now: Long): List<AllowanceUse> {
        val sums = LinkedHashMap<WorkspaceId, AllowanceUse>()
        for (use in state.ownAllowanceUse(now) + reports.flatMap { it.report.allowances }) {
            sums.merge(use.workspace, use) { a, b ->
                AllowanceUse(a.workspace, a.asked + b.asked, a.granted + b.granted)
            }
        }
        return sums.values.toList()
    }

    private fun timings(reports: Collection<HeardReport>, now: Long): List<ServerTimingUse> =
        TimingSums.sum(reports.map { it.report.timings } + listOf(state.ownTimings(now)))

    /** Applies the sums of this hub and of [reports], those of its peers; the fleet has [nodes] nodes. */
    fun applySums(reports: Collection<HeardReport>, nodes: Int, now: Long) {
        state.applyAllowanceTotals(allowances(reports, now), nodes, now)
        state.applyTimings(timings(reports, now), now)
    }

    /** Applies the sums of [digest]. */
    fun applySums(digest: Digest, now: Long) {
        state.applyAllowanceTotals(digest.allowances, digest.nodes, now)
        state.applyTimings(digest.timings, now)
    }

    /** Applies what [report] says about backend servers, apart from the work there. */
    fun applyConditions(report: Report, now: Long) {
        report.crashes?.let { state.applyCrashEvidence(it, now) }
        state.applyServerLimits(report.limits, now)
        state.applyBrittleServers(report.brittle, now)
        state.applyHelpers(report.helpers, now)
    }

    /** Withdraws the reports of this node. */
    fun withdrawal() = Report(zone, weight, 0, nodes = 0)

    private companion object {
        /** Few, as most of the bytes of a report would be helpers, and all are named within a second or so. */
        const val HELPERS_PER_REPORT = 5

        /** Enough to spread the requests of a node that is cut off. */
        const val HELPERS_PER_DIGEST = 6
    }
}
