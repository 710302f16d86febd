package io.apricotslip.gateway.order

import io.apricotslip.gateway.Dialect
import io.apricotslip.gateway.server.HttpLink
import io.apricotslip.gateway.server.LinkListener
import io.apricotslip.gateway.server.ServerPool
import io.apricotslip.serving.fleet.Server
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpResponse
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/** Sends orders to backend servers. */
internal class OrderSender(private val loop: EventLoop, private val pool: ServerPool, private val dialect: Dialect) {
    /** Sends [order] to [server]; [done] hears the result, [OrderResult.UNKNOWN] when none came in time. */
    fun send(server: Server, order: Order, done: (OrderResult) -> Unit) {
        call(server, dialect.order(order)) { status, _ ->
            done(if (status == null) OrderResult.UNKNOWN else dialect.orderResult(status))
        }
    }

    /** Asks [server] what it holds; [done] hears null when there is no answer. */
    fun report(server: Server, done: (EngineReport?) -> Unit) {
        call(server, dialect.reportCall(server.id)) { status, body ->
            done(if (status == null) null else dialect.report(status, body))
        }
    }

    private fun call(server: Server, call: OrderCall, done: (Int?, String) -> Unit) {
        pool.acquire(server, MOST_CONNECTIONS, fresh = false) { link, _ ->
            if (link == null) done(null, "") else write(link, call, done)
        }
    }

    private fun write(link: HttpLink, call: OrderCall, done: (Int?, String) -> Unit) {
        val reply = Reply(done)
        link.send(call.method, call.uri, call.headers, Unpooled.wrappedBuffer(call.body), reply)
        val giveUp = { if (!reply.over) link.fail("no answer in time") }
        val timer = loop.schedule(giveUp, ANSWER_MILLIS, TimeUnit.MILLISECONDS)
        reply.onOver = { timer.cancel(false) }
    }

    private class Reply(private val done: (Int?, String) -> Unit) : LinkListener {
        var over = false
            private set
        var onOver: () -> Unit = {}
        private var status = 0
        private val body = ByteArrayOutputStream()

        override fun head(response: HttpResponse): Boolean {
            status = response.status().code()
            return true
        }

        override fun body(bytes: ByteBuf) {
            bytes.readBytes(body, bytes.readableBytes())
        }

        override fun ended() = end(status)

        override fun broken(reason: String) = end(null)

        private fun end(status: Int?) {
            over = true
            onOver()
            done(status, body.toString(Charsets.UTF_8))
        }
    }

    private companion object {
        /** Orders share the connections of requests; few are under way at a time. */
        const val MOST_CONNECTIONS = Int.MAX_VALUE

        /** Many times the usual answer of a few milliseconds. */
        const val ANSWER_MILLIS = 600L
    }
}
