package io.apricotslip.gateway.exchange

import io.apricotslip.gateway.caller.CallerResponse
import io.apricotslip.gateway.server.HttpConnection
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.state.RouteKind
import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * Passes a backend server's answer on to the caller.
 *
 * Events of a stream pass as soon as they are whole. Other answers are kept until they are whole, up to [KEPT_BYTES],
 * so
 * that one that breaks off can be asked for again.
 */
internal class Delivery(
    private val context: ExchangeContext,
    private val answer: CallerResponse,
    private val route: Route,
    private val facts: RequestMetadata,
) {
    private val splitter = EventSplitter()
    private var status: HttpResponseStatus = HttpResponseStatus.OK
    private var headers: HttpHeaders? = null
    private var kept: CompositeByteBuf? = null
    private var link: HttpConnection? = null

    /** Whether the caller has seen a part of the answer. */
    var begun: Boolean = false
        private set

    /** Whether the answer that passes is a success. */
    val ok: Boolean
        get() = status.code() in 200..299

    /** Last event that the caller has. */
    val lastEvent: Long?
        get() = splitter.lastId ?: facts.lastEventId

    private val events: Boolean
        get() = route.kind == RouteKind.STREAM && ok

    /** Takes the head of an answer; the head of the first server of a stream is kept when it goes on elsewhere. */
    fun head(response: HttpResponse, from: HttpConnection) {
        link = from
        if (begun) return
        status = response.status()
        headers = context.dialect.callerResponseHeaders(response)
    }

    /** Takes a part of the body; returns whether the caller was sent something. */
    fun body(bytes: ByteBuf): Boolean {
        if (events) {
            val whole = splitter.take(bytes) ?: return false
            pass(whole)
            return true
        }
        if (begun) {
            pass(bytes.copy())
            return true
        }
        val buffer = kept ?: Unpooled.compositeBuffer(MOST_PARTS).also { kept = it }
        buffer.addComponent(true, bytes.copy())
        if (buffer.readableBytes() <= KEPT_BYTES) return false
        kept = null
        pass(buffer)
        return true
    }

    /** The answer is whole. */
    fun end() {
        if (events) {
            splitter.remainder()?.let(::pass)
            if (!begun) start()
            answer.finish()
            return
        }
        if (begun) return answer.finish()
        val body = kept ?: Unpooled.EMPTY_BUFFER
        kept = null
        answer.sendFull(status, headers ?: CallerResponse.newHeaders(), body)
        begun = true
    }

    /** The answer broke off: drops what the caller has not seen. */
    fun interrupted() {
        splitter.reset()
        kept?.release()
        kept = null
    }

    /** Frees what is kept. */
    fun release() {
        interrupted()
        link = null
    }

    private fun start() {
        begun = true
        answer.sendHead(status, headers ?: CallerResponse.newHeaders())
    }

    private fun pass(bytes: ByteBuf) {
        if (!begun) start()
        answer.write(bytes)
        answer.flush()
        if (!answer.isWritable) link?.setAutoRead(false)
    }

    private companion object {
        /** More than any answer of the deployments' services that are not streams. */
        const val KEPT_BYTES = 65_536
        const val MOST_PARTS = 64
    }
}
