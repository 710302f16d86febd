package io.apricotslip.gateway.exchange

import io.apricotslip.gateway.buffer.PieceCollector
import io.apricotslip.gateway.caller.CallerResponse
import io.apricotslip.gateway.server.HttpConnection
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.state.RouteKind
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * Forwards a backend server's response to the caller.
 *
 * Events of a stream are forwarded as soon as they are complete. Other responses are buffered until they are complete,
 * up to [MAX_BUFFERED_BYTES], so that a request whose response breaks off can be retried.
 */
internal class ResponseForwarder(
    private val context: ExchangeContext,
    private val response: CallerResponse,
    private val route: Route,
    private val metadata: RequestMetadata,
) {
    private val splitter = EventSplitter()
    private var status: HttpResponseStatus = HttpResponseStatus.OK
    private var headers: HttpHeaders? = null
    private var contentType: String? = null
    private val buffered = PieceCollector()
    private var connection: HttpConnection? = null

    /** Whether a part of the response was sent to the caller. */
    var started: Boolean = false
        private set

    /** HTTP status of the forwarded response. */
    val statusCode: Int
        get() = status.code()

    /** HTTP status of the last response to the request that a server began, forwarded or not; null before. */
    var receivedStatusCode: Int? = null

    /** Whether the forwarded response has a success status. */
    val success: Boolean
        get() = status.code() in 200..299

    /** Id of the last event that was sent to the caller. */
    val lastEventId: Long?
        get() = splitter.lastEventId ?: metadata.lastEventId

    /** Whether the server sends bytes without end that are no event. */
    val unsound: Boolean
        get() = splitter.tooLong

    /** Whether the stream ends inside an event. */
    val endsInsideEvent: Boolean
        get() = forwardsEvents && splitter.hasIncompleteEvent

    /** Whether the events of a stream are forwarded one by one. */
    val forwardsEvents: Boolean
        get() = route.kind == RouteKind.STREAM && success

    /** Whether another run can go on where this one breaks off: only the events of a stream tell where that is. */
    val canContinue: Boolean
        get() = !started || forwardsEvents

    /** For the log: the status that the caller got, and that of the last response [from] a server or helper. */
    fun statuses(from: String): String = "caller_status=${response.statusCode} ${from}_status=$receivedStatusCode"

    /** Whether a response with [head] can go on where the response that was begun broke off: it has the same type. */
    fun canContinueWith(head: HttpResponse): Boolean =
        !started || (forwardsEvents && head.headers().get(HttpHeaderNames.CONTENT_TYPE) == contentType)

    /** Handles a response head; when a stream resumes on another server, the head of the first server is kept. */
    fun onHead(head: HttpResponse, from: HttpConnection) {
        connection = from
        if (started) return
        status = head.status()
        contentType = head.headers().get(HttpHeaderNames.CONTENT_TYPE)
        headers = context.dialect.callerResponseHeaders(head)
    }

    /** Handles a part of the body; returns whether anything was sent to the caller. */
    fun onBody(bytes: ByteBuf): Boolean {
        if (forwardsEvents) {
            val complete = splitter.append(bytes) ?: return false
            forward(complete)
            return true
        }
        if (started) {
            forward(bytes.copy())
            return true
        }
        buffered.add(bytes)
        if (buffered.size <= MAX_BUFFERED_BYTES) return false
        forward(buffered.take())
        return true
    }

    /** Completes the caller's response after the server's response is complete. */
    fun complete() {
        if (forwardsEvents) {
            if (!started) sendHead()
            response.finish()
            return
        }
        if (started) return response.finish()
        response.sendFull(status, headers ?: CallerResponse.newHeaders(), buffered.take())
        started = true
    }

    /** Discards what was not sent to the caller, after the server's response broke off. */
    fun discardUnsent() {
        splitter.reset()
        buffered.discard()
    }

    /** Frees the buffers. */
    fun release() {
        discardUnsent()
        connection = null
    }

    private fun sendHead() {
        started = true
        response.sendHead(status, headers ?: CallerResponse.newHeaders())
    }

    private fun forward(bytes: ByteBuf) {
        if (!started) sendHead()
        response.write(bytes)
        response.flush()
        if (!response.isWritable) connection?.setAutoRead(false)
    }

    private companion object {
        /** Larger than any non-streaming response of the services in the deployment profiles. */
        const val MAX_BUFFERED_BYTES = 65_536
    }
}
