package io.apricotslip.gateway.server

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/** A call with a short text as its answer. */
public class TextCall(
    private val method: HttpMethod,
    private val uri: String,
    private val headers: HttpHeaders,
    private val body: ByteArray = ByteArray(0),
) {
    /** Outcome of a call. */
    public sealed class Reply {
        /** The server answered with [status] and [text]. */
        public class Answer(public val status: Int, public val text: String) : Reply()

        /** There is no answer; the call may have been carried out. */
        public class None(public val reason: String) : Reply()
    }

    /** Sends the call on [link]; [done] hears the answer, or that none came within [millis]. */
    public fun send(link: HttpLink, loop: EventLoop, millis: Long, done: (Reply) -> Unit) {
        val giveUp = { link.fail("no answer in $millis ms") }
        val timer = loop.schedule(giveUp, millis, TimeUnit.MILLISECONDS)
        val listener = Listener {
            timer.cancel(false)
            done(it)
        }
        link.send(method, uri, headers, Unpooled.wrappedBuffer(body), listener)
    }

    private class Listener(private val done: (Reply) -> Unit) : LinkListener {
        private var status = 0
        private val text = ByteArrayOutputStream()

        override fun head(response: HttpResponse): Boolean {
            status = response.status().code()
            return true
        }

        override fun body(bytes: ByteBuf) {
            bytes.readBytes(text, bytes.readableBytes())
        }

        override fun ended() = done(Reply.Answer(status, text.toString(Charsets.UTF_8)))

        override fun broken(reason: String) = done(Reply.None(reason))
    }
}
