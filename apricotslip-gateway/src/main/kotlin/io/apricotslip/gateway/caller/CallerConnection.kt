package io.apricotslip.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import org.tinylog.kotlin.Logger

/** One connection of a caller: collects requests, hands them on one by one, and keeps the limits on callers. */
internal class CallerConnection(private val context: CallerContext) : ChannelInboundHandlerAdapter() {
    private enum class State { IDLE, READING, SERVING, CLOSING }

    private lateinit var channel: Channel
    private val pending = ArrayDeque<Any>()
    private var state = State.IDLE
    private var head: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var answer: CallerResponse? = null
    private var watcher: CallerListener? = null
    private var since = 0L
    private var draining = false

    override fun channelActive(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
        since = context.now()
        context.opened(this)
    }

    override fun channelRead(ctx: ChannelHandlerContext, msg: Any) {
        if (state == State.SERVING) {
            pending.addLast(msg)
            if (pending.size >= MOST_PENDING) channel.config().isAutoRead = false
            return
        }
        take(msg)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        watcher?.onWritabilityChanged(channel.isWritable)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        context.closed(this)
        answer?.onCallerDisconnected()
        val told = watcher
        watcher = null
        told?.onCallerDisconnected()
        releaseBody()
        while (pending.isNotEmpty()) ReferenceCountUtil.release(pending.removeFirst())
        state = State.CLOSING
    }

    @Deprecated("Deprecated in Netty")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        Logger.debug { "event=caller_connection_failed reason=\"${cause.message}\"" }
        ctx.close()
    }

    /** Closes the connection when it was idle, or has been reading a request, for too long. */
    fun check(now: Long) {
        val limits = context.limits()
        when (state) {
            State.IDLE -> if (now - since > limits.idleTimeoutMillis) channel.close()
            State.READING -> if (now - since > limits.headerTimeoutMillis + BODY_MILLIS) slow()
            State.SERVING -> Unit
            State.CLOSING -> if (now - since > LINGER_MILLIS) channel.close()
        }
    }

    /** Closes the connection once nothing is under way. */
    fun drain(hard: Boolean) {
        draining = true
        if (state == State.IDLE || (hard && state == State.READING)) channel.close()
    }

    /** Ends whatever is under way. */
    fun abort() {
        channel.close()
    }

    private fun take(msg: Any) {
        try {
            if (state == State.CLOSING) return
            if (msg is HttpRequest) begin(msg)
            if (msg is HttpContent && state == State.READING) append(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    private fun begin(request: HttpRequest) {
        since = context.now()
        state = State.READING
        head = request
        val refusal = refusal(request)
        if (refusal != null) return refuse(refusal, request.decoderResult().cause()?.message ?: "not accepted")
        val length = HttpUtil.getContentLength(request, 0L)
        if (length > context.limits().maxBodyBytes) return refuseLong()
        if (!context.hasRoom(length)) return refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, NO_MEMORY)
        if (HttpUtil.is100ContinueExpected(request)) channel.writeAndFlush(CONTINUE.retainedDuplicate())
    }

    private fun refusal(request: HttpRequest): HttpResponseStatus? {
        val cause = request.decoderResult().cause()
        val encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return when {
            cause is TooLongHttpHeaderException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            cause is TooLongHttpLineException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            cause != null -> HttpResponseStatus.BAD_REQUEST
            ambiguous(request, encodings) -> HttpResponseStatus.BAD_REQUEST
            else -> null
        }
    }

    /** Whether two readers of the request could take its end, or its host, for different ones. */
    private fun ambiguous(request: HttpRequest, encodings: List<String>): Boolean = when {
        request.protocolVersion() != HttpVersion.HTTP_1_1 && encodings.isNotEmpty() -> true
        encodings.size > 1 || encodings.any { !CHUNKED.contentEqualsIgnoreCase(it) } -> true
        else -> request.headers().getAll(HttpHeaderNames.HOST).size != 1
    }

    private fun append(content: HttpContent) {
        if (content.decoderResult().isFailure) return refuse(HttpResponseStatus.BAD_REQUEST, "unreadable body")
        val bytes = content.content().readableBytes()
        if (bytes > 0) {
            val buffer = body ?: Unpooled.compositeBuffer(MOST_PARTS).also { body = it }
            if (buffer.readableBytes() + bytes > context.limits().maxBodyBytes) {
                return refuseLong()
            }
            if (!context.reserveBody(bytes.toLong())) return refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, NO_MEMORY)
            buffer.addComponent(true, content.content().retain())
        }
        if (content is LastHttpContent) serve()
    }

    private fun serve() {
        val request = head ?: return
        state = State.SERVING
        val keepAlive = HttpUtil.isKeepAlive(request)
        val reply = CallerResponse(channel, { keepAlive && !draining }, ::answered)
        answer = reply
        val whole: ByteBuf = body ?: Unpooled.EMPTY_BUFFER
        val call = CallerRequest(request.method(), request.uri(), request.headers(), whole, context.now())
        val told = context.handler.handle(call, reply)
        if (state == State.SERVING && answer === reply) watcher = told
    }

    private fun answered() {
        releaseBody()
        head = null
        answer = null
        watcher = null
        since = context.now()
        state = State.IDLE
        channel.config().isAutoRead = true
        channel.eventLoop().execute(::resume)
    }

    private fun resume() {
        while (pending.isNotEmpty() && state != State.SERVING) take(pending.removeFirst())
        if (draining && state == State.IDLE) channel.flush()
    }

    private fun refuseLong() = refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too long")

    private fun slow() = refuse(HttpResponseStatus.REQUEST_TIMEOUT, "request took too long")

    /**
     * Refuses what cannot be read on: answers, then reads and drops the rest for a while, so that the answer arrives.
     */
    private fun refuse(status: HttpResponseStatus, reason: String) {
        val peer = channel.remoteAddress()
        Logger.info { "event=caller_refused status=${status.code()} reason=\"$reason\" peer=$peer" }
        releaseBody()
        state = State.CLOSING
        since = context.now()
        val reply = CallerResponse(channel, { true }, {})
        val headers = CallerResponse.newHeaders()
        headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        reply.sendFull(status, headers, CallerResponse.emptyBody())
    }

    private fun releaseBody() {
        val buffer = body ?: return
        body = null
        context.releaseBody(buffer.writerIndex().toLong())
        buffer.release()
    }

    private companion object {
        /** Parts of pipelined requests that are kept; beyond them the connection is not read. */
        const val MOST_PENDING = 64
        const val MOST_PARTS = 1_024

        /** Time for a body beyond the limit for the head: 4 MiB over a narrow link. */
        const val BODY_MILLIS = 10_000L

        /** Time for a refusal to arrive before the connection is closed on bytes that were not read. */
        const val LINGER_MILLIS = 500L
        const val NO_MEMORY = "no memory for the body"
        val CHUNKED = HttpHeaderValues.CHUNKED
        val CONTINUE = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.CONTINUE,
            Unpooled.EMPTY_BUFFER,
        )
    }
}
