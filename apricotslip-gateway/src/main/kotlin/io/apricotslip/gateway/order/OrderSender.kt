package io.apricotslip.gateway.order

import io.apricotslip.gateway.Dialect
import io.apricotslip.gateway.exchange.AnnouncementRecorder
import io.apricotslip.gateway.server.ServerConnectionPool
import io.apricotslip.gateway.server.TextCall
import io.apricotslip.serving.fleet.Admission
import io.apricotslip.serving.fleet.Server
import io.netty.channel.EventLoop

/** Sends orders and report calls to backend servers. */
internal class OrderSender(
    private val loop: EventLoop,
    private val pool: ServerConnectionPool,
    private val dialect: Dialect,
    private val announcements: AnnouncementRecorder,
    private val admission: (Server) -> Admission,
) {
    /** Sends [order] to [server]; [done] receives the result, [OrderResult.UNKNOWN] when none arrived in time. */
    fun send(server: Server, order: Order, done: (OrderResult) -> Unit) {
        call(server, dialect.orderCall(order)) { response ->
            done(if (response == null) OrderResult.UNKNOWN else dialect.parseOrderResult(response.status))
        }
    }

    /** Asks [server] which adapters it has; [done] receives null when there is no readable response. */
    fun report(server: Server, done: (EngineReport?) -> Unit) {
        call(server, dialect.reportCall(server.id)) { response ->
            done(response?.let { dialect.parseReport(it.status, it.text) })
        }
    }

    /** Makes [call]; a server that wants no requests for a while gets none, which counts as no response. */
    private fun call(server: Server, call: TextCall, done: (TextCall.Outcome.Response?) -> Unit) {
        if (admission(server) is Admission.Paused) return done(null)
        pool.acquire(server, MAX_CONNECTIONS, earlyExpiry = false) { connection, _ ->
            if (connection == null) return@acquire done(null)
            call.send(connection, loop, RESPONSE_TIMEOUT_MILLIS) { outcome ->
                val response = outcome as? TextCall.Outcome.Response
                if (response != null) {
                    announcements.record(server, dialect.parseServerResponse(response.status, response.headers))
                }
                done(response)
            }
        }
    }

    private companion object {
        /** No limit: orders share the connections of requests, and few are in flight at a time. */
        const val MAX_CONNECTIONS = Int.MAX_VALUE

        /** Many times the usual response time of a few milliseconds. */
        const val RESPONSE_TIMEOUT_MILLIS = 600L
    }
}
