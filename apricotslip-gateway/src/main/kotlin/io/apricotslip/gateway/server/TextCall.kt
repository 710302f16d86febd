package io.apricotslip.gateway.server

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/** An HTTP call whose response has a short text body. */
public class TextCall(
    private val method: HttpMethod,
    private val uri: String,
    private val headers: HttpHeaders,
    private val body: ByteArray = ByteArray(0),
) {
    /** Outcome of a call. */
    public sealed class Outcome {
        /** The server responded with [status] and [text]. */
        public class Response(public val status: Int, public val text: String) : Outcome()

        /** No complete response arrived, for [reason]; the server may still have executed the call. */
        public class NoResponse(public val reason: String) : Outcome()
    }

    /** Sends the call on [connection]; [done] gets the outcome, at the latest after [timeoutMillis]. */
    public fun send(connection: HttpConnection, loop: EventLoop, timeoutMillis: Long, done: (Outcome) -> Unit) {
        val onTimeout = { connection.fail("no answer in $timeoutMillis ms") }
        val timer = loop.schedule(onTimeout, timeoutMillis, TimeUnit.MILLISECONDS)
        val listener = Listener {
            timer.cancel(false)
            done(it)
        }
        connection.send(method, uri, headers, Unpooled.wrappedBuffer(body), listener)
    }

    private class Listener(private val done: (Outcome) -> Unit) : ResponseListener {
        private var status = 0
        private val text = ByteArrayOutputStream()

        override fun onHead(response: HttpResponse): Boolean {
            status = response.status().code()
            return true
        }

        override fun onBody(bytes: ByteBuf) {
            bytes.readBytes(text, bytes.readableBytes())
        }

        override fun onComplete() = done(Outcome.Response(status, text.toString(Charsets.UTF_8)))

        override fun onFailure(reason: String) = done(Outcome.NoResponse(reason))
    }
}
