package io.apricotslip.gateway.server

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit

/**
 * An HTTP call whose response has a short text body.
 *
 * @param maxPauseMillis longest pause between two parts of the answer: once it has begun, it may take longer than the
 * time for it as long as its parts keep coming. Null if all of it must arrive in that time.
 * @param isAnswer whether a response with the given headers belongs to the call: a server may send a late second copy
 * of an earlier response on the connection.
 */
public class TextCall(
    private val method: HttpMethod,
    private val uri: String,
    private val headers: HttpHeaders,
    private val body: ByteArray = ByteArray(0),
    private val maxResponseBytes: Int = DEFAULT_MAX_RESPONSE_BYTES,
    private val maxPauseMillis: Long? = null,
    private val isAnswer: (HttpHeaders) -> Boolean = { true },
) {
    /** Outcome of a call. */
    public sealed class Outcome {
        /** The server responded with [status], [headers] and [text]. */
        public class Response(
            public val status: Int,
            public val text: String,
            public val headers: HttpHeaders = EmptyHttpHeaders.INSTANCE,
        ) : Outcome()

        /**
         * No complete response arrived, for [reason]; the server may still have executed the call.
         *
         * @property timedOut whether the time for it was over, rather than the connection.
         */
        public class NoResponse(public val reason: String, public val timedOut: Boolean = false) : Outcome()
    }

    /** Sends the call on [connection]; [done] gets the outcome. The time for the answer is [timeoutMillis]. */
    public fun send(connection: HttpConnection, loop: EventLoop, timeoutMillis: Long, done: (Outcome) -> Unit) {
        val timeout = Timeout(connection, loop, timeoutMillis)
        val listener = Listener(connection, timeout) {
            timeout.cancel()
            done(it)
        }
        connection.send(method, uri, headers, Unpooled.wrappedBuffer(body), listener)
    }

    /** Fails the call when its time is over, which the parts of the answer extend. */
    private inner class Timeout(private val connection: HttpConnection, private val loop: EventLoop, millis: Long) {
        private var timer = schedule(millis)
        private var extendedMillis = 0L

        var isOver = false
            private set

        fun onPart() {
            val missingMillis = (maxPauseMillis ?: return) - timer.getDelay(TimeUnit.MILLISECONDS)
            if (isOver || missingMillis <= 0 || extendedMillis + missingMillis > MAX_EXTENSION_MILLIS) return
            extendedMillis += missingMillis
            timer.cancel(false)
            timer = schedule(maxPauseMillis)
        }

        fun cancel() {
            timer.cancel(false)
        }

        private fun schedule(millis: Long) = loop.schedule({ expire(millis) }, millis, TimeUnit.MILLISECONDS)

        private fun expire(millis: Long) {
            isOver = true
            connection.fail("no answer in $millis ms")
        }
    }

    private inner class Listener(
        private val connection: HttpConnection,
        private val timeout: Timeout,
        private val done: (Outcome) -> Unit,
    ) : ResponseListener {
        private var status = 0
        private var responseHeaders: HttpHeaders = EmptyHttpHeaders.INSTANCE
        private val text = ByteArrayOutputStream()

        override fun onHead(response: HttpResponse): Boolean {
            status = response.status().code()
            responseHeaders = response.headers()
            return isAnswer(response.headers())
        }

        override fun onBody(bytes: ByteBuf) {
            if (text.size() + bytes.readableBytes() > maxResponseBytes) {
                return connection.fail("answer longer than $maxResponseBytes bytes")
            }
            bytes.readBytes(text, bytes.readableBytes())
            timeout.onPart()
        }

        override fun onComplete() = done(Outcome.Response(status, text.toString(Charsets.UTF_8), responseHeaders))

        override fun onFailure(reason: String) = done(Outcome.NoResponse(reason, timeout.isOver))
    }

    public companion object {
        /** Many times a report of an engine with all adapter slots in use. */
        public const val DEFAULT_MAX_RESPONSE_BYTES: Int = 262_144

        /** The longest answer at ten megabits a second; single bytes must not extend the time forever. */
        private const val MAX_EXTENSION_MILLIS = 10_000L
    }
}
