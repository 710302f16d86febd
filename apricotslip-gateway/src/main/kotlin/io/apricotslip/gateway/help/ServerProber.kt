package io.apricotslip.gateway.help

import io.apricotslip.gateway.Dialect
import io.apricotslip.gateway.server.Connector
import io.apricotslip.gateway.server.HttpConnection
import io.apricotslip.gateway.server.TextCall
import io.apricotslip.serving.fleet.Admission
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.reach.ServerReach
import io.apricotslip.serving.state.DesiredState
import io.netty.channel.EventLoop

/** Asks a few backend servers for any answer, to tell a cut of this node's links from servers that are down or busy. */
internal class ServerProber(
    private val loop: EventLoop,
    private val fleet: Fleet,
    private val connector: Connector,
    private val dialect: Dialect,
    private val reach: ServerReach,
    private val desiredState: () -> DesiredState?,
    private val now: () -> Long,
) {
    /** Probes servers, and calls [onAnswer] when bytes arrive from one of them. */
    fun confirmReach(onAnswer: () -> Unit) = probe(ServerReach.SERVERS_PER_PROBE, onAnswer)

    /**
     * Probes up to [count] servers, brittle ones last; what becomes of it is recorded in [reach]. Calls [onAnswer] when
     * bytes arrive from one of them.
     */
    fun probe(count: Int, onAnswer: () -> Unit = {}) {
        val open = fleet.all.filter { fleet.admission(it, now()) == Admission.Open }
        open.shuffled().sortedBy { it.roomShare.isBrittle }.take(count).forEach { probe(it, onAnswer) }
    }

    /** Probes [server], to learn whether it is heard. */
    fun confirm(server: Server) = probe(server) { server.health.recordBytes(now()) }

    private fun probe(server: Server, onAnswer: () -> Unit) {
        val call = probeCall(server)
        val connection = HttpConnection(
            now,
            onBytes = {
                reach.recordNewConnectionHeard(now())
                onAnswer()
            },
        )
        reach.recordSent(now())
        connector.open(server.entry.host, server.entry.port, connection) { failure ->
            if (failure != null) return@open reach.recordRefused(server.id)
            call.send(connection, loop, TIMEOUT_MILLIS) { onEnded(server, connection, it) }
        }
    }

    /** A status check needs a place as a request does, and a brittle server may have to turn it away. */
    private fun probeCall(server: Server): TextCall {
        if (server.roomShare.isBrittle) return dialect.reportCall(server.id)
        val healthPath = desiredState()?.services?.get(server.entry.service)?.healthPath
        return dialect.statusCall(server.id, healthPath ?: DEFAULT_PATH)
    }

    private fun onEnded(server: Server, connection: HttpConnection, outcome: TextCall.Outcome) {
        val answered = outcome is TextCall.Outcome.Response
        if (answered) connection.abandon()
        if (!answered && connection.closedByServer) reach.recordRefused(server.id)
    }

    private companion object {
        /** Servers turn away what has no request id, which is an answer too. */
        const val DEFAULT_PATH = "/"
        const val TIMEOUT_MILLIS = 280L
    }
}
