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
import java.util.concurrent.TimeUnit

/** Sends orders to backend servers. */
internal class OrderSender(private val loop: EventLoop, private val pool: ServerPool, private val dialect: Dialect) {
    /** Sends [order] to [server]; [done] hears the result, [OrderResult.UNKNOWN] when none came in time. */
    fun send(server: Server, order: Order, done: (OrderResult) -> Unit) {
        pool.acquire(server, MOST_CONNECTIONS, fresh = false) { link, _ ->
            if (link == null) done(OrderResult.BUSY) else write(link, order, done)
        }
    }

    private fun write(link: HttpLink, order: Order, done: (OrderResult) -> Unit) {
        val call = dialect.order(order)
        val reply = Reply(done)
        link.send(call.method, call.uri, call.headers, Unpooled.wrappedBuffer(call.body), reply)
        val timer = loop.schedule({ if (!reply.over) link.fail("no answer in time") }, ANSWER_MILLIS, TimeUnit.MILLISECONDS)
        reply.onOver = { timer.cancel(false) }
    }

    private inner class Reply(private val done: (OrderResult) -> Unit) : LinkListener {
        var over = false
            private set
        var onOver: () -> Unit = {}
        private var result = OrderResult.UNKNOWN

        override fun head(response: HttpResponse): Boolean {
            result = dialect.orderResult(response.status().code())
            return true
        }

        override fun body(bytes: ByteBuf) = Unit

        override fun ended() = end(result)

        override fun broken(reason: String) = end(OrderResult.UNKNOWN)

        private fun end(result: OrderResult) {
            over = true
            onOver()
            done(result)
        }
    }

    private companion object {
        /** Orders share the connections of requests; few are under way at a time. */
        const val MOST_CONNECTIONS = Int.MAX_VALUE

        /** Many times the usual answer of a few milliseconds. */
        const val ANSWER_MILLIS = 600L
    }
}
