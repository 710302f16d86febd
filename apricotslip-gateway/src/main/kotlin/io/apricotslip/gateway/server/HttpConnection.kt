package io.apricotslip.gateway.server

import io.apricotslip.gateway.server.PeekableSocketChannel.UnreadInput
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
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.Future
import java.io.IOException

/**
 * A connection to an HTTP server that carries one request at a time.
 *
 * The connection is closed and not reused after anything unexpected: bytes after a complete response, a response to
 * another request, a response before the request was written, or a parse error.
 *
 * @param onIdle called when the response was complete and the connection can carry the next request.
 * @param onClosed called when the connection was closed.
 * @param onSent called when a request is sent.
 * @param onBytes called when bytes arrive.
 * @param onStray called with the reason when bytes arrive that belong to no response.
 */
public class HttpConnection(
    private val now: () -> Long,
    private val onIdle: (HttpConnection) -> Unit = {},
    private val onClosed: (HttpConnection) -> Unit = {},
    private val onSent: () -> Unit = {},
    private val onBytes: () -> Unit = {},
    private val onStray: (reason: String) -> Unit = {},
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private val decoder = ResponseDecoder({ busy && !responseComplete }, ::onStrayBytes)
    private var listener: ResponseListener? = null
    private var skippingResponse = false
    private var receivingResponse = false
    private var requestWritten = false
    private var reusable = true
    private var responseComplete = false
    private var failureReason: String? = null
    private var skippedBytes = 0L
    private var skipped = ResponseStartSearch()

    /** Time of the last received byte, sent request or end of a pause of reading, in ms of the monotonic clock. */
    public var lastActiveAt: Long = 0
        private set

    /** Idle timeout that the server announces in its Keep-Alive header, in milliseconds; null if it announces none. */
    public var keepAliveMillis: Long? = null
        private set

    /** Whether the server, and not this node, closed or reset the connection. */
    public var closedByServer: Boolean = false
        private set

    /** Whether this node ended the connection. */
    public var endedHere: Boolean = false
        private set

    /** Whether only the end of the connection marks the end of the response in progress. */
    public var endsWithConnection: Boolean = false
        private set

    /** Whether a request is in progress. */
    public val busy: Boolean
        get() = listener != null

    /** Whether the connection is open. */
    public val open: Boolean
        get() = ::channel.isInitialized && channel.isActive

    /**
     * Returns whether the connection can carry the next request. Input that has arrived while the event loop was busy
     * would be read as the response to it; an idle connection that has such input is closed.
     */
    public fun closeUnlessClean(): Boolean {
        if (!open || busy) return false
        when ((channel as? PeekableSocketChannel)?.findUnreadInput()) {
            UnreadInput.BYTES -> onStray("unread bytes").also { closeHere() }
            UnreadInput.END -> channel.close()
            UnreadInput.NONE, null -> return true
        }
        return false
    }

    /** Sends a request. Releases [body]. */
    public fun send(method: HttpMethod, uri: String, headers: HttpHeaders, body: ByteBuf, listener: ResponseListener) {
        this.listener = listener
        skippingResponse = false
        skippedBytes = 0
        receivingResponse = false
        requestWritten = false
        responseComplete = false
        decoder.respondsToHead = method == HttpMethod.HEAD
        lastActiveAt = now()
        onSent()
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, body, headers, NO_TRAILERS)
        if (body.isReadable || method != HttpMethod.GET) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        }
        channel.writeAndFlush(request).addListener(::onWritten)
    }

    private fun onWritten(write: Future<*>) {
        requestWritten = write.isSuccess
        // The close that follows is no end of a response that ends with its connection.
        if (!write.isSuccess) failureReason = write.cause().message ?: write.cause().javaClass.simpleName
    }

    /** Abandons the request and closes the connection, without another call of the listener. */
    public fun abandon() {
        listener = null
        closeHere()
    }

    /** Fails the request for [reason] and closes the connection. */
    public fun fail(reason: String) {
        endedHere = true
        failRequest(reason)
    }

    private fun failRequest(reason: String) {
        endRequest { it.onFailure(reason) }
        channel.close()
    }

    /** Whether this node does not read from the server, so that nothing tells whether the server is silent. */
    public val readingPaused: Boolean
        get() = !channel.config().isAutoRead

    /** Pauses or resumes reading from the server; a silence of the server is counted from the end of a pause. */
    public fun setAutoRead(enabled: Boolean) {
        if (enabled && readingPaused) lastActiveAt = now()
        channel.config().isAutoRead = enabled
    }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
        lastActiveAt = now()
        ctx.pipeline().addBefore(ctx.name(), null, HttpRequestEncoder()).addBefore(ctx.name(), null, decoder)
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        try {
            lastActiveAt = now()
            onBytes()
            if (listener == null) return
            if (msg is HttpResponse) receiveHead(msg)
            if (msg is HttpContent) receiveContent(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (responseComplete) endResponse()
        ctx.fireChannelReadComplete()
    }

    /**
     * Ends the request at the end of the read that completed its response: only then is it known whether the connection
     * can carry another request, which the listener may send at once.
     */
    private fun endResponse() {
        responseComplete = false
        val ended = listener
        listener = null
        val clean = reusable && requestWritten && channel.isActive
        if (!clean) closeHere()
        ended?.onComplete()
        if (!clean || busy || !channel.isActive) return
        // Reading may be paused for a slow caller; an idle connection must show that the server closes it.
        setAutoRead(true)
        onIdle(this)
    }

    @Deprecated("Deprecated in Netty")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        failureReason = cause.message ?: cause.javaClass.simpleName
        closedByServer = cause is IOException
        failRequest("connection failed: $failureReason")
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        closedByServer = true
        endRequest { it.onFailure("connection closed") }
        onClosed(this)
        ctx.fireChannelInactive()
    }

    private fun onStrayBytes(bytes: Int) {
        // The rest of a read in which the request failed; the connection is being closed.
        if (endedHere) return
        lastActiveAt = now()
        onBytes()
        onStray("$bytes bytes ${if (responseComplete) "after a complete response" else "while idle"}")
        reusable = false
        if (!responseComplete) closeHere()
    }

    private fun closeHere() {
        endedHere = true
        channel.close()
    }

    private fun receiveHead(response: HttpResponse) {
        ResponseHead.fault(response)?.let { return failUnreadable(it) }
        if (response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) return fail("answer without a request for it")
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            skippingResponse = true
            return recordSkipped(MIN_HEAD_BYTES)
        }
        endsWithConnection =
            !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)
        if (!HttpUtil.isKeepAlive(response) || endsWithConnection) reusable = false
        readKeepAliveTimeout(response.headers())
        receivingResponse = listener?.onHead(response) ?: false
        skippingResponse = !receivingResponse
        if (!skippingResponse) return
        if (endsWithConnection) return failUnreadable("a response to another request that ends with the connection")
        skipped = ResponseStartSearch()
        reusable = false
        recordSkipped(MIN_HEAD_BYTES)
    }

    private fun failUnreadable(reason: String) = fail("unreadable answer: $reason")

    /** Counts [bytes] that are no answer to the request; a faulty server may send them without end. */
    private fun recordSkipped(bytes: Long) {
        skippedBytes += bytes
        if (skippedBytes > MAX_SKIPPED_BYTES) fail("more than $MAX_SKIPPED_BYTES bytes that are no answer")
    }

    private fun receiveContent(content: HttpContent) {
        val last = content is LastHttpContent
        if (content.decoderResult().isFailure) return fail(ResponseHead.faultInBody(content.decoderResult().cause()))
        val trailers = (content as? LastHttpContent)?.trailingHeaders() ?: NO_TRAILERS
        if (skippingResponse) return skip(content.content(), trailers, last)
        if (!receivingResponse) return fail("body without a head")
        if (content.content().isReadable) listener?.onBody(content.content())
        responseComplete = last && !(endsWithConnection && failureReason != null)
    }

    /**
     * Skips a part of the body of a response to another request. If that broke off, it takes the response to this
     * request for the rest of its body or for its trailers, and what follows would be read from the middle.
     */
    private fun skip(bytes: ByteBuf, trailers: HttpHeaders, last: Boolean) {
        if (skipped.isFoundIn(bytes) || !trailers.isEmpty) return failUnreadable("a response inside another one")
        if (last) skippingResponse = false
        recordSkipped(bytes.readableBytes().toLong())
    }

    private fun endRequest(action: (ResponseListener) -> Unit) {
        val current = listener ?: return
        listener = null
        action(current)
    }

    private fun readKeepAliveTimeout(headers: HttpHeaders) {
        val text = headers.get(KEEP_ALIVE_HEADER) ?: return
        val seconds = TIMEOUT_PARAMETER.find(text)?.groupValues?.get(1)?.toLongOrNull() ?: return
        keepAliveMillis = seconds * MILLIS_PER_SECOND
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L

        /** A second copy of the longest answer that is not a stream fits. */
        const val MAX_SKIPPED_BYTES = 131_072L

        /** Bytes that the head of a response counts for that is skipped. */
        const val MIN_HEAD_BYTES = 128L
        const val KEEP_ALIVE_HEADER = "Keep-Alive"
        val TIMEOUT_PARAMETER = Regex("timeout=(\\d+)")
        val NO_TRAILERS: HttpHeaders = EmptyHttpHeaders.INSTANCE
    }
}
