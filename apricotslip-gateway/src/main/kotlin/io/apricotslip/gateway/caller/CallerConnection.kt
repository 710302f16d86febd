package io.apricotslip.gateway.caller

import io.apricotslip.gateway.buffer.PieceCollector
import io.apricotslip.serving.state.CallerLimits
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import org.tinylog.kotlin.Logger

/**
 * One connection of a caller: assembles requests, handles them one at a time and enforces the limits for callers.
 *
 * Everything that is received passes through one queue, also while no request is served: the queue is worked off in
 * later turns of the event loop, and input that is read in between must not overtake it.
 */
internal class CallerConnection(private val context: CallerContext, private val encoder: CallerEncoder) :
    ChannelInboundHandlerAdapter() {
    private enum class State { IDLE, READING, SERVING, CLOSING }

    private lateinit var channel: Channel
    private val pending = InboundQueue(context.now)

    /** Number of the request that is read or served. */
    private var requestNumber = 0L
    private var state = State.IDLE
    private var head: HttpRequest? = null
    private val arriving = PieceCollector()

    /** The whole body of the request that is served. */
    private var body: ByteBuf? = null
    private var response: CallerResponse? = null
    private var listener: CallerListener? = null
    private var stateSince = 0L

    /** The write of the last response that ended. */
    private var lastSent: ChannelFuture? = null

    override fun channelActive(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
        stateSince = context.now()
        context.add(this)
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        pending.add(msg)
        processPending()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        listener?.onWritabilityChanged(channel.isWritable)
        if (channel.isWritable && !pending.isEmpty) channel.eventLoop().execute(::processPending)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        context.remove(this)
        response?.onCallerDisconnected()
        val notified = listener
        listener = null
        notified?.onCallerDisconnected()
        releaseBody()
        pending.clear()
        state = State.CLOSING
    }

    @Deprecated("Deprecated in Netty")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        Logger.debug { "event=caller_connection_failed reason=\"${cause.message}\"" }
        ctx.close()
    }

    /** Closes the connection if it was idle for too long, and refuses a request that takes too long to arrive. */
    fun closeExpired(now: Long) {
        val limits = context.limits()
        when (state) {
            State.IDLE -> if (isWaiting && now - stateSince > limits.idleTimeoutMillis) channel.close()
            State.READING -> if (now - stateSince > limits.headerTimeoutMillis + BODY_TIMEOUT_MILLIS) refuseSlow()
            State.SERVING -> Unit
            State.CLOSING -> if (now - stateSince > closingMillis(limits)) channel.close()
        }
    }

    /** Whether it is the caller's turn: to send a request, or to read what was sent to it. */
    private val isWaiting: Boolean
        get() = pending.isEmpty || !channel.isWritable

    /** A caller may take as long to read the last response as it may stay idle. */
    private fun closingMillis(limits: CallerLimits): Long =
        if (lastSent?.isDone == true) LINGER_MILLIS else limits.idleTimeoutMillis

    /** Closes the connection if no request has been in progress on it for a while. */
    fun closeIfIdle(now: Long) {
        val idle = state == State.IDLE && pending.isEmpty && lastSent?.isDone != false
        if (idle && now - stateSince >= MIN_IDLE_MILLIS) channel.close()
    }

    /** Closes the connection at once, also during a request. */
    fun abort() {
        channel.close()
    }

    private fun process(received: InboundQueue.Received) {
        val msg = received.message
        try {
            if (state == State.CLOSING) return
            if (isOutOfOrder(received)) return closeOutOfOrder(received.requestNumber)
            if (msg is HttpRequest) beginRequest(msg)
            if (msg is HttpContent && state == State.READING) appendBody(msg, received.receivedAt)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    /** Whether a message would be taken for a part of another request, so that answers would change places. */
    private fun isOutOfOrder(received: InboundQueue.Received): Boolean {
        val begins = received.message is HttpRequest
        return received.requestNumber != (if (begins) requestNumber + 1 else requestNumber)
    }

    private fun closeOutOfOrder(number: Long) {
        val peer = channel.remoteAddress()
        Logger.error { "event=caller_order_broken caller=${place(number)} current=$requestNumber peer=$peer" }
        state = State.CLOSING
        channel.close()
    }

    private fun place(number: Long) = CallerPlace(channel.id().asShortText(), number)

    private fun beginRequest(request: HttpRequest) {
        requestNumber++
        stateSince = context.now()
        state = State.READING
        head = request
        val status = refusalStatus(request)
        if (status != null) return refuse(status, refusalReason(request))
        val length = HttpUtil.getContentLength(request, 0L)
        if (length > context.limits().maxBodyBytes) return refuseTooLarge()
        if (!context.hasCapacity(length)) return refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, NO_MEMORY)
        if (HttpUtil.is100ContinueExpected(request)) channel.writeAndFlush(CONTINUE.retainedDuplicate())
    }

    private fun refusalReason(request: HttpRequest): String =
        request.decoderResult().cause()?.let(RequestHead::reason) ?: RequestHead.fault(request) ?: "not accepted"

    private fun refusalStatus(request: HttpRequest): HttpResponseStatus? {
        val cause = request.decoderResult().cause()
        val encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return when {
            cause is TooLongHttpHeaderException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            cause is TooLongHttpLineException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            cause != null -> HttpResponseStatus.BAD_REQUEST
            isAmbiguous(request, encodings) -> HttpResponseStatus.BAD_REQUEST
            RequestHead.fault(request) != null -> HttpResponseStatus.BAD_REQUEST
            else -> null
        }
    }

    /** Whether another HTTP implementation could see a different end of the request, or a different host. */
    private fun isAmbiguous(request: HttpRequest, encodings: List<String>): Boolean = when {
        request.protocolVersion() != HttpVersion.HTTP_1_1 && encodings.isNotEmpty() -> true
        encodings.size > 1 || encodings.any { !CHUNKED.contentEqualsIgnoreCase(it) } -> true
        else -> request.headers().getAll(HttpHeaderNames.HOST).size != 1
    }

    private fun appendBody(content: HttpContent, receivedAt: Long) {
        if (content.decoderResult().isFailure) return refuse(HttpResponseStatus.BAD_REQUEST, "unreadable body")
        val bytes = content.content().readableBytes()
        if (bytes > 0) {
            if (arriving.size + bytes > context.limits().maxBodyBytes) return refuseTooLarge()
            if (!context.reserveBody(bytes.toLong())) return refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, NO_MEMORY)
            arriving.add(content.content())
        }
        if (content is LastHttpContent) serve(receivedAt)
    }

    private fun serve(arrivedAt: Long) {
        val request = head ?: return
        state = State.SERVING
        val keepAlive = HttpUtil.isKeepAlive(request)
        val id = context.requestId(request.headers())
        val newResponse = CallerResponse(
            channel,
            keepAlive = { keepAlive && !context.closing && !(context.draining && pending.isEmpty) },
            onEnd = ::onResponseEnd,
            belongs = { headers -> context.requestId(headers).let { it == null || it == id } },
            chunked = request.protocolVersion() >= HttpVersion.HTTP_1_1,
        )
        response = newResponse
        encoder.respondsToHead = request.method() == HttpMethod.HEAD
        val fullBody = arriving.take().also { body = it }
        val place = place(requestNumber)
        val call = CallerRequest(request.method(), request.uri(), request.headers(), fullBody, arrivedAt, place)
        val newListener = try {
            context.handler.handle(call, newResponse)
        } catch (e: RuntimeException) {
            Logger.error(e, "event=caller_request_failed caller={}", place)
            channel.close()
            return
        }
        if (state == State.SERVING && response === newResponse) listener = newListener
    }

    private fun onResponseEnd(sent: ChannelFuture, closes: Boolean) {
        releaseBody()
        head = null
        response = null
        listener = null
        stateSince = context.now()
        state = State.IDLE
        lastSent = sent
        if (closes) closeAfter(sent)
        // In a later turn, as the handler has not returned yet.
        if (!pending.isEmpty) channel.eventLoop().execute(::processPending)
    }

    /**
     * Processes what was received, in the order in which it was received, up to the end of the next request. No request
     * begins while the caller has not read the answers before.
     */
    private fun processPending() {
        while (!pending.isEmpty && canProcess()) process(pending.take())
        channel.config().isAutoRead = !pending.isFull
    }

    private fun canProcess(): Boolean = when (state) {
        State.IDLE -> channel.isWritable
        State.READING, State.CLOSING -> true
        State.SERVING -> false
    }

    private fun refuseTooLarge() = refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too long")

    private fun refuseSlow() = refuse(HttpResponseStatus.REQUEST_TIMEOUT, "request took too long")

    /** Refuses a request whose remaining bytes cannot be processed, with [status], and closes the connection. */
    private fun refuse(status: HttpResponseStatus, reason: String) {
        val peer = channel.remoteAddress()
        val caller = place(requestNumber)
        Logger.info { "event=caller_refused status=${status.code()} reason=\"$reason\" caller=$caller peer=$peer" }
        releaseBody()
        val refusal = CallerResponse(channel, keepAlive = { false }, onEnd = { sent, _ -> closeAfter(sent) })
        refusal.sendFull(status, CallerResponse.newHeaders(), CallerResponse.emptyBody())
    }

    /**
     * Ends the connection after its last response: when that is [sent], the caller sees the end, and further input is
     * read and dropped until the caller has closed as well, for [LINGER_MILLIS] at most.
     */
    private fun closeAfter(sent: ChannelFuture) {
        state = State.CLOSING
        stateSince = context.now()
        lastSent = sent
        sent.addListener {
            stateSince = context.now()
            (channel as? DuplexChannel)?.shutdownOutput()
        }
    }

    private fun releaseBody() {
        val whole = body
        body = null
        context.releaseBody((whole?.writerIndex() ?: arriving.size).toLong())
        whole?.release()
        arriving.discard()
    }

    private companion object {
        /** Time to receive a body, in addition to the time limit for the headers: allows 4 MiB over a slow network. */
        const val BODY_TIMEOUT_MILLIS = 10_000L

        /** Time for the last response to arrive: closing a connection with unread bytes resets it and may lose it. */
        const val LINGER_MILLIS = 500L

        /** A request may be on its way on a connection that was opened or used more recently. */
        const val MIN_IDLE_MILLIS = 500L
        const val NO_MEMORY = "no memory for the body"
        val CHUNKED = HttpHeaderValues.CHUNKED
        val CONTINUE = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.CONTINUE,
            Unpooled.EMPTY_BUFFER,
        )
    }
}
