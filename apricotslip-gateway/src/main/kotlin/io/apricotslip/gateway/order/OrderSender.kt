package io.apricotslip.gateway.order

import io.apricotslip.gateway.Dialect
import io.apricotslip.gateway.server.ServerConnectionPool
import io.apricotslip.gateway.server.TextCall
import io.apricotslip.serving.fleet.Server
import io.netty.channel.EventLoop

/** Sends orders to backend servers. */
internal class OrderSender(
    private val loop: EventLoop,
    private val pool: ServerConnectionPool,
    private val dialect: Dialect,
) {
    /** Sends [order] to [server]; [done] hears the result, [OrderResult.UNKNOWN] when none came in time. */
    fun send(server: Server, order: Order, done: (OrderResult) -> Unit) {
        call(server, dialect.orderCall(order)) { answer ->
            done(if (answer == null) OrderResult.UNKNOWN else dialect.parseOrderResult(answer.status))
        }
    }

    /** Asks [server] what it holds; [done] hears null when there is no answer. */
    fun report(server: Server, done: (EngineReport?) -> Unit) {
        call(server, dialect.reportCall(server.id)) { answer ->
            done(answer?.let { dialect.parseReport(it.status, it.text) })
        }
    }

    private fun call(server: Server, call: TextCall, done: (TextCall.Outcome.Response?) -> Unit) {
        pool.acquire(server, MOST_CONNECTIONS, earlyExpiry = false) { link, _ ->
            if (link == null) return@acquire done(null)
            call.send(link, loop, ANSWER_MILLIS) { done(it as? TextCall.Outcome.Response) }
        }
    }

    private companion object {
        /** Orders share the connections of requests; few are under way at a time. */
        const val MOST_CONNECTIONS = Int.MAX_VALUE

        /** Many times the usual answer of a few milliseconds. */
        const val ANSWER_MILLIS = 600L
    }
}
