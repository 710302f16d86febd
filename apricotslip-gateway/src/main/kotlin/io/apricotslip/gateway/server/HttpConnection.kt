package io.apricotslip.gateway.server

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/**
 * A connection to an HTTP server that carries one request at a time.
 *
 * A connection on which anything unexpected arrived is closed and not used again: bytes after a whole answer, an answer
 * to another request, an answer before the request was written, a failure to parse.
 *
 * @param onIdle called when the answer was whole and the connection can take the next request.
 */
public class HttpConnection(
    private val now: () -> Long,
    private val onIdle: (HttpConnection) -> Unit = {},
    private val onClosed: (HttpConnection) -> Unit = {},
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var listener: ResponseListener? = null
    private var skipping = false
    private var answering = false
    private var written = false
    private var reusable = true
    private var finished = false
    private var resetReason: String? = null

    /** Time of the last byte, or of the last send. */
    public var lastActiveAt: Long = 0
        private set

    /** Time that the server keeps an idle connection, in milliseconds, or null when it does not say. */
    public var keepAliveMillis: Long? = null
        private set

    /** Whether the request under way may be given up when the server is silent. */
    public var abandonOnSilence: Boolean = true

    /** Whether a request is under way. */
    public val busy: Boolean
        get() = listener != null

    /** Whether the connection is open. */
    public val open: Boolean
        get() = ::channel.isInitialized && channel.isActive

    /** Sends a request; [body] is consumed. */
    public fun send(method: HttpMethod, uri: String, headers: HttpHeaders, body: ByteBuf, listener: ResponseListener) {
        this.listener = listener
        skipping = false
        answering = false
        written = false
        finished = false
        lastActiveAt = now()
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, body, headers, NO_TRAILERS)
        if (body.isReadable || method != HttpMethod.GET) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        }
        channel.writeAndFlush(request).addListener { if (it.isSuccess) written = true }
    }

    /** Gives the request up and closes the connection; the listener hears nothing more. */
    public fun abandon() {
        listener = null
        channel.close()
    }

    /** Ends the request as broken for [reason] and closes the connection. */
    public fun fail(reason: String) {
        end { it.onFailure(reason) }
        channel.close()
    }

    /** Stops or starts to read from the server. */
    public fun setAutoRead(enabled: Boolean) {
        channel.config().isAutoRead = enabled
    }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
        lastActiveAt = now()
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        try {
            lastActiveAt = now()
            if (listener == null || finished) return discard()
            if (msg is HttpResponse) head(msg)
            if (msg is HttpContent) content(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (finished) {
            finished = false
            if (reusable && written && channel.isActive) onIdle(this) else channel.close()
        }
        ctx.fireChannelReadComplete()
    }

    @Deprecated("Deprecated in Netty")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        resetReason = cause.message ?: cause.javaClass.simpleName
        fail("connection failed: $resetReason")
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        end { it.onFailure("connection closed") }
        onClosed(this)
        ctx.fireChannelInactive()
    }

    private fun discard() {
        reusable = false
        if (!finished) channel.close()
    }

    private fun head(response: HttpResponse) {
        if (response.decoderResult().isFailure) return fail("unreadable answer")
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skipping = response.status() != HttpResponseStatus.SWITCHING_PROTOCOLS
            return
        }
        if (!HttpUtil.isKeepAlive(response) || unframed(response)) reusable = false
        keepAlive(response.headers())
        answering = listener?.onHead(response) ?: false
        skipping = !answering
        if (skipping) reusable = false
    }

    private fun content(content: HttpContent) {
        val last = content is LastHttpContent
        if (content.decoderResult().isFailure) return fail("answer cut off")
        if (skipping) {
            if (last) skipping = false
            return
        }
        if (!answering) return fail("body without a head")
        if (content.content().isReadable) listener?.onBody(content.content())
        if (last && resetReason == null) {
            finished = true
            end { it.onComplete() }
        }
    }

    private fun end(action: (ResponseListener) -> Unit) {
        val ending = listener ?: return
        listener = null
        action(ending)
    }

    private fun unframed(response: HttpResponse) =
        !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)

    private fun keepAlive(headers: HttpHeaders) {
        val text = headers.get(KEEP_ALIVE) ?: return
        val seconds = TIMEOUT.find(text)?.groupValues?.get(1)?.toLongOrNull() ?: return
        keepAliveMillis = seconds * MILLIS_PER_SECOND
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val KEEP_ALIVE = "Keep-Alive"
        val TIMEOUT = Regex("timeout=(\\d+)")
        val NO_TRAILERS: HttpHeaders = EmptyHttpHeaders.INSTANCE
    }
}
