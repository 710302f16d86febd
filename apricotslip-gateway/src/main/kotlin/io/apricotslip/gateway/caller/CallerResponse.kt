package io.apricotslip.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.tinylog.kotlin.Logger

/**
 * The response to one request of a caller. It ends with exactly one call of [sendFull], [finish] or [abort].
 *
 * @param chunked whether the caller understands chunks. For one that does not, the connection ends a response of
 * unknown length; until that was sent, a close resets the connection, so that what broke off does not look whole.
 */
public class CallerResponse internal constructor(
    private val channel: Channel,
    private val keepAlive: () -> Boolean,
    private val onEnd: (sent: ChannelFuture, closes: Boolean) -> Unit,
    private val belongs: (HttpHeaders) -> Boolean = { true },
    private val chunked: Boolean = true,
) {
    private var closeAfterEnd = false
    private var endsWithConnection = false

    /** Whether the status and headers were sent. */
    public var started: Boolean = false
        private set

    /** HTTP status that was sent to the caller; null before. */
    public var statusCode: Int? = null
        private set

    /** Whether the response ended, or the caller disconnected. */
    public var ended: Boolean = false
        private set

    /** Whether more bytes are accepted: false when the write buffer is full; what follows the end is dropped. */
    public val isWritable: Boolean
        get() = ended || channel.isWritable

    /** Sends a complete response and ends it. Releases [body]. */
    public fun sendFull(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        if (ended) {
            body.release()
            return
        }
        if (isForeign(headers)) {
            body.release()
            return abort()
        }
        started = true
        statusCode = status.code()
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        announceClose(headers)
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE)
        end(response)
    }

    /** Writes the status and headers of a response of unknown length. */
    public fun sendHead(status: HttpResponseStatus, headers: HttpHeaders) {
        if (ended) return
        if (isForeign(headers)) return abort()
        started = true
        statusCode = status.code()
        if (chunked) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        } else {
            headers.remove(HttpHeaderNames.TRANSFER_ENCODING)
            channel.config().setOption(ChannelOption.SO_LINGER, RESET)
            endsWithConnection = true
        }
        announceClose(headers)
        channel.write(DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers))
    }

    /** Writes a part of the body. Releases [bytes]. */
    public fun write(bytes: ByteBuf) {
        if (ended) bytes.release() else channel.write(DefaultHttpContent(bytes))
    }

    /** Flushes what was written to the connection. */
    public fun flush() {
        channel.flush()
    }

    /** Completes a response that was started with [sendHead]. */
    public fun finish() {
        if (!ended) end(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    /** Ends a response before it is complete by closing the connection. */
    public fun abort() {
        if (ended) return
        ended = true
        channel.flush()
        channel.close()
    }

    internal fun onCallerDisconnected() {
        ended = true
    }

    /** Whether a response with [headers] belongs to another request; its caller must not get it, whatever the cause. */
    private fun isForeign(headers: HttpHeaders): Boolean {
        if (belongs(headers)) return false
        Logger.error { "event=foreign_response caller=${channel.id().asShortText()} peer=${channel.remoteAddress()}" }
        return true
    }

    private fun announceClose(headers: HttpHeaders) {
        closeAfterEnd = endsWithConnection || !keepAlive()
        if (closeAfterEnd) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun end(message: Any) {
        ended = true
        val sent = channel.writeAndFlush(message)
        if (endsWithConnection) {
            sent.addListener { if (it.isSuccess) channel.config().setOption(ChannelOption.SO_LINGER, NO_RESET) }
        }
        onEnd(sent, closeAfterEnd)
    }

    internal companion object {
        /** Times for which a close waits for what was not sent, in seconds. */
        private const val RESET = 0
        private const val NO_RESET = -1

        fun newHeaders(): HttpHeaders = DefaultHttpHeaders()

        fun emptyBody(): ByteBuf = Unpooled.EMPTY_BUFFER
    }
}
