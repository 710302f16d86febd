package io.apricotslip.gateway.peer

import io.apricotslip.api.peer.ServerPaceUse
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.pace.PaceEvidence
import io.apricotslip.serving.pace.PaceExchangeState

/** Fills the reports with the limits of servers that just started or recovered; with nothing unless [enabled]. */
internal class PaceReports(private val enabled: Boolean, private val fleet: Fleet) : PaceExchangeState {
    private var listedBefore = 0

    override fun reportPaces(now: Long): List<ServerPaceUse> = listed(now).map { use(it, it.pace.takeEvidence()) }

    override fun digestPaces(now: Long): List<ServerPaceUse> = listed(now).map { use(it, PaceEvidence()) }

    override fun applyPaceReport(paces: List<ServerPaceUse>, ofHub: Boolean, now: Long) = paces.forEach { use ->
        val evidence = PaceEvidence(use.onTime, use.slow, use.bad)
        incarnation(use)?.pace?.applyReport(use.number, use.limit, evidence, passOn = !ofHub, now)
    }

    override fun applyPaceDigest(paces: List<ServerPaceUse>, now: Long) = paces.forEach { use ->
        incarnation(use)?.pace?.applyDigest(use.number, use.limit, now)
    }

    private fun listed(now: Long): List<Server> {
        if (!enabled) return emptyList()
        val all = fleet.all.filter { it.pace.growing || it.pace.endedLately(now) }
        val count = minOf(MAX_SERVERS, all.size)
        return List(count) { all[(listedBefore + it) % all.size] }.also { listedBefore += count }
    }

    private fun use(server: Server, evidence: PaceEvidence) = ServerPaceUse(
        server = server.id,
        startedAtMillis = server.entry.startedAtMillis,
        number = server.pace.number,
        limit = server.pace.limit(),
        onTime = evidence.onTime,
        slow = evidence.slow,
        bad = evidence.bad,
    )

    private fun incarnation(use: ServerPaceUse): Server? =
        if (enabled) fleet[use.server]?.takeIf { it.entry.startedAtMillis == use.startedAtMillis } else null

    private companion object {
        /** Bounds a message to about 1.5 KB of limits; when more servers start at once, they are listed in turn. */
        const val MAX_SERVERS = 32
    }
}
