package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.gateway.observe.DecisionLog
import io.apricotslip.serving.fleet.Admission
import io.apricotslip.serving.fleet.EngineLatencyEstimator
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.pace.PeerLatency
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.state.RouteKind

/**
 * Records what the responses show about the pace that servers can bear, begins limits at recoveries and logs their
 * changes. It does nothing unless [enabled].
 */
internal class PaceRecorder(
    private val enabled: Boolean,
    private val fleet: Fleet,
    private val log: DecisionLog,
    private val now: () -> Long,
    private val isCutOff: () -> Boolean,
) {
    /** The limit that was logged last, rounded down; null when the end of it was logged. */
    private class Logged(val limit: Int?, val at: Long)

    private val peers = PeerLatency()
    private val logged = HashMap<BackendServerId, Logged>()

    /** A model of the time to the first event by the size of the prompt; only the ratio between servers counts. */
    private val usual = EngineLatencyEstimator()

    /** Records that a request of [promptTokens] was sent to [server]. */
    fun recordSent(server: Server, promptTokens: Int) {
        if (enabled) server.pace.recordSent(promptTokens)
    }

    /** Records the first event of a response, [millis] after the request; [tokens] were to be processed before it. */
    fun recordFirstEvent(server: Server, route: Route, millis: Long, tokens: Long) {
        if (!enabled) return
        val service = server.entry.service
        val expected = if (route.kind == RouteKind.STREAM) usual.firstEventMillis(tokens, 0) else 1.0
        val slowness = peers.slowness(service, millis.toDouble(), expected)
        if (!server.pace.growing) peers.record(service, millis.toDouble(), expected)
        server.pace.recordFirstEvent(late = millis > route.targetLatencyMillis, slowness, now())
    }

    /** Records the first pause within a response of [server] that is longer than the objective of its route. */
    fun recordLatePause(server: Server) {
        if (enabled) server.pace.recordLatePause(now())
    }

    /** Records that [server] turned a request away for lack of capacity. */
    fun recordRefused(server: Server) {
        if (enabled) server.pace.recordRefused(now())
    }

    /** Records that [server] could not be reached, or broke a response off. */
    fun recordFailed(server: Server) {
        if (enabled) server.pace.recordFailed(now())
    }

    /** Begins the limits of servers that no node uses during a pause or a backoff, and logs what changed. */
    fun tick() {
        if (!enabled) return
        val now = now()
        for (server in fleet.all) {
            if (!isCutOff() && isInterrupted(server, now)) server.pace.begin()
            logChange(server, now)
        }
        logged.keys.removeIf { fleet[it] == null }
    }

    /** Limits of the servers that have one, by server. */
    fun limits(): Map<String, Double> =
        fleet.all.mapNotNull { server -> server.pace.limit()?.let { server.id.value to it } }.toMap()

    private fun isInterrupted(server: Server, now: Long): Boolean {
        if (server.pace.growing || server.totalUtilization().running > 0) return false
        val paused = server.announcements.pausedUntil > now
        return (paused || !server.health.usable(now)) && fleet.admission(server, now) != Admission.Leaving
    }

    private fun logChange(server: Server, now: Long) {
        val limit = server.pace.limit()?.toInt()
        val before = logged[server.id]
        if (limit == before?.limit || (before != null && now - before.at < LOG_INTERVAL_MILLIS)) return
        logged[server.id] = Logged(limit, now)
        log.write {
            "event=pace server=${server.id} limit=${limit ?: "none"} before=${before?.limit ?: "none"} " +
                "slots=${server.entry.requestSlots} number=${server.pace.number} " +
                "running=${server.totalUtilization().running}"
        }
    }

    private companion object {
        /** Two lines a second for each server. */
        const val LOG_INTERVAL_MILLIS = 500L
    }
}
