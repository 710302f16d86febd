package io.apricotslip.gateway.exchange

import io.apricotslip.gateway.server.HttpConnection
import io.apricotslip.gateway.server.ResponseListener
import io.apricotslip.serving.fleet.Server
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/** One attempt to serve a request at one backend server: reads the response and reports the outcome to [exchange]. */
internal class Attempt(
    private val exchange: Exchange,
    private val context: ExchangeContext,
    private val forwarder: ResponseForwarder,
    val server: Server,
    private val connection: HttpConnection,
    private val requestId: String?,
    private val sentAt: Long,
    private val estimateMillis: Long,
) : ResponseListener {
    private sealed class State {
        /** The response head has not arrived. */
        data object AwaitingHead : State()

        /** The response is forwarded to the caller. */
        data object Forwarding : State()

        /** The body is discarded; [head] determines the outcome when the response completes. */
        class Discarding(val head: ServerResponseMetadata) : State()
    }

    private val pendingPromptTokensBefore = server.totalUtilization().pendingPromptTokens
    private var state: State = State.AwaitingHead
    private var awaitingFirstEvent = true
    private var lastEventAt = 0L
    private var readAgainAt = 0L
    private var discardedBytes = 0L
    private var eventCount = 0

    /** Since when the server is silent, for all that is known, in milliseconds of the monotonic clock. */
    val lastActiveAt: Long
        get() = connection.lastActiveAt

    /** Whether this node does not read from the server, because the caller does not read. */
    val readingPaused: Boolean
        get() = connection.readingPaused

    /** Longest time without a byte that is expected of a sound server now, in milliseconds. */
    val maxSilenceMillis: Long
        get() = when (state) {
            State.AwaitingHead -> exchange.silenceLimits.beforeFirstByte(estimateMillis)
            State.Forwarding, is State.Discarding -> exchange.silenceLimits.betweenBytes
        }

    /** Ends the attempt for [reason]; the request goes on as after any other outcome that is unknown. */
    fun fail(reason: String) = connection.fail(reason)

    /** Ends the attempt without a further call of the exchange. */
    fun abandon() = connection.abandon()

    /** Pauses or resumes reading the response. */
    fun setAutoRead(enabled: Boolean) {
        if (enabled && readingPaused) readAgainAt = context.now()
        connection.setAutoRead(enabled)
    }

    override fun onHead(response: HttpResponse): Boolean {
        server.health.recordBytes(context.now())
        val head = context.dialect.parseServerResponse(response.status().code(), response.headers())
        if (head.requestId != requestId) {
            val other = head.requestId
            context.log.write { "event=foreign_answer request=$requestId server=${server.id} answers=$other" }
            return false
        }
        exchange.attempts.onAlive(this)
        forwarder.receivedStatusCode = head.status
        context.announcements.record(server, head, requestId)
        when {
            head.notExecuted || head.misdirected -> state = State.Discarding(head)
            !head.signed || head.impliesNotExecuted -> state = State.Discarding(head)
            head.success && forwarder.canContinueWith(response) -> forward(response)
            forwarder.started || exchange.attempts.hasFallback -> state = State.Discarding(head)
            else -> forward(response)
        }
        return true
    }

    override fun onBody(bytes: ByteBuf) {
        server.health.recordBytes(context.now())
        exchange.attempts.onAlive(this)
        if (state != State.Forwarding) return discard(bytes)
        when {
            !exchange.continuity.trusts(server) -> connection.fail("server replaced by another software version")
            forwarder.onBody(bytes) -> recordEvent()
            forwarder.unsound -> connection.fail("event without end")
            isStalled() -> connection.fail("stalled")
        }
    }

    /** Whether bytes arrive but no event has been complete for so long that the stream is not merely slow. */
    private fun isStalled(): Boolean = exchange.isStream &&
        context.now() - maxOf(lastEventAt, sentAt, readAgainAt) > exchange.silenceLimits.betweenEvents

    /** Discards a part of a body that is no answer; a server may send such bytes without end. */
    private fun discard(bytes: ByteBuf) {
        discardedBytes += bytes.readableBytes()
        if (discardedBytes <= MAX_DISCARDED_BYTES) return
        connection.fail("more than $MAX_DISCARDED_BYTES bytes that are no answer")
    }

    override fun onComplete() {
        exchange.attempts.onAlive(this)
        when (val current = state) {
            State.AwaitingHead -> exchange.onOutcomeUnknown(this, "no answer")
            State.Forwarding -> onForwardedResponseComplete()
            is State.Discarding -> onDiscardedResponseComplete(current.head)
        }
    }

    override fun onFailure(reason: String) {
        val current = state
        if (current is State.Discarding && (current.head.notExecuted || current.head.misdirected)) {
            exchange.attempts.onAlive(this)
            return exchange.onNotExecuted(server, current.head)
        }
        endBrokenOff(reason, connection.closedByServer)
    }

    /** Whether the end of the response shows that the server did not complete the stream. */
    private fun isBrokenOff(): Boolean =
        forwarder.endsInsideEvent || (forwarder.forwardsEvents && connection.endsWithConnection && eventCount == 0)

    private fun endBrokenOff(reason: String, closedByServer: Boolean) {
        if (state == State.Forwarding) forwarder.discardUnsent()
        if (closedByServer && eventCount < ANSWERED_EVENTS) exchange.requestGate.onClosedBeforeAnswer(server, sentAt)
        exchange.onOutcomeUnknown(this, reason)
    }

    private fun forward(response: HttpResponse) {
        state = State.Forwarding
        exchange.attempts.onAnswerBegins()
        forwarder.onHead(response, connection)
    }

    private fun onForwardedResponseComplete() {
        if (isBrokenOff()) return endBrokenOff("stream not complete", connection.endsWithConnection)
        if (!forwarder.success) {
            if (exchange.onServerFailure(server)) return forwarder.discardUnsent()
        } else {
            server.health.recordSuccess(context.now())
        }
        if (awaitingFirstEvent) recordEvent()
        if (forwarder.success && eventCount < ANSWERED_EVENTS) exchange.requestGate.onAnswered()
        forwarder.complete()
        exchange.onResponseForwarded(if (forwarder.success) "served" else "failed_by_server")
    }

    private fun onDiscardedResponseComplete(head: ServerResponseMetadata) {
        if (head.notExecuted || head.misdirected) return exchange.onNotExecuted(server, head)
        exchange.onOutcomeUnknown(this, "no usable answer: ${head.status} signed=${head.signed}")
    }

    private fun recordEvent() {
        val now = context.now()
        eventCount++
        if (eventCount == ANSWERED_EVENTS && forwarder.success) exchange.requestGate.onAnswered()
        if (awaitingFirstEvent) {
            awaitingFirstEvent = false
            exchange.onFirstEvent(now - sentAt, pendingPromptTokensBefore, server)
        } else if (exchange.isStream && lastEventAt > 0) {
            exchange.timings.recordGap(now - lastEventAt, server)
        }
        lastEventAt = now
    }

    private companion object {
        /** Longer than the body of any refusal or failure of a backend server. */
        const val MAX_DISCARDED_BYTES = 131_072L

        /** A prompt that crashes servers may do so shortly after the first event. */
        const val ANSWERED_EVENTS = 3
    }
}
