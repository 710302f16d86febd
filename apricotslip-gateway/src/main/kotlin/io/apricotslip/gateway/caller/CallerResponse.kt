package io.apricotslip.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
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

/** The answer to one request of a caller. Each request ends with exactly one [sendFull], [finish] or [abort]. */
public class CallerResponse internal constructor(
    private val channel: Channel,
    private val keepAlive: () -> Boolean,
    private val onEnd: () -> Unit,
) {
    private var closes = false

    /** Whether the head was sent. */
    public var started: Boolean = false
        private set

    /** Whether the answer ended. */
    public var ended: Boolean = false
        private set

    /** Whether the caller's connection takes more bytes now. */
    public val isWritable: Boolean
        get() = channel.isWritable

    /** Sends a whole answer; [body] is consumed. */
    public fun sendFull(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        if (ended) {
            body.release()
            return
        }
        started = true
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        announceClose(headers)
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE)
        end(response)
    }

    /** Sends the head of an answer whose length is not known. */
    public fun sendHead(status: HttpResponseStatus, headers: HttpHeaders) {
        if (ended) return
        started = true
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        announceClose(headers)
        channel.write(DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers))
    }

    /** Sends a part of the body; [bytes] is consumed. */
    public fun write(bytes: ByteBuf) {
        if (ended) bytes.release() else channel.write(DefaultHttpContent(bytes))
    }

    /** Sends what was written. */
    public fun flush() {
        channel.flush()
    }

    /** Ends an answer that was started, as whole. */
    public fun finish() {
        if (!ended) end(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    /** Ends an answer that was started as not whole: the connection is closed. */
    public fun abort() {
        if (ended) return
        ended = true
        channel.flush()
        channel.close()
    }

    internal fun onCallerDisconnected() {
        ended = true
    }

    private fun announceClose(headers: HttpHeaders) {
        closes = !keepAlive()
        if (closes) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun end(message: Any) {
        ended = true
        val sent = channel.writeAndFlush(message)
        if (closes) sent.addListener(ChannelFutureListener.CLOSE)
        onEnd()
    }

    internal companion object {
        fun newHeaders(): HttpHeaders = DefaultHttpHeaders()

        fun emptyBody(): ByteBuf = Unpooled.EMPTY_BUFFER
    }
}
