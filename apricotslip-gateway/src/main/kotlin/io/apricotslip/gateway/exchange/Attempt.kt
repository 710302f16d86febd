package io.apricotslip.gateway.exchange

import io.apricotslip.gateway.server.HttpConnection
import io.apricotslip.gateway.server.ResponseListener
import io.apricotslip.serving.fleet.Server
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/** One sending of a request to one backend server: reads the answer and says what it proves. */
internal class Attempt(
    private val exchange: Exchange,
    private val context: ExchangeContext,
    private val delivery: Delivery,
    private val server: Server,
    private val link: HttpConnection,
    private val requestId: String?,
    private val tokensBefore: Long,
    private val sentAt: Long,
) : ResponseListener {
    private sealed class State {
        /** No head yet. */
        data object Waiting : State()

        /** The answer passes to the caller. */
        data object Passing : State()

        /** The body is of no use; [said] is acted on when it ended. */
        class Dropping(val said: ServerResponseMetadata) : State()
    }

    private var state: State = State.Waiting
    private var first = true
    private var lastEventAt = 0L

    override fun onHead(response: HttpResponse): Boolean {
        server.health.recordBytes(context.now())
        val said = context.dialect.parseServerResponse(response)
        if (requestId != null && said.requestId != requestId) {
            val other = said.requestId
            context.log.write { "event=foreign_answer request=$requestId server=${server.id} answers=$other" }
            return false
        }
        when {
            said.notExecuted || said.misdirected -> state = State.Dropping(said)
            !said.signed -> state = State.Dropping(said)
            said.success -> pass(response)
            delivery.begun -> state = State.Dropping(said)
            else -> pass(response)
        }
        return true
    }

    override fun onBody(bytes: ByteBuf) {
        server.health.recordBytes(context.now())
        if (state != State.Passing) return
        if (delivery.body(bytes)) event()
    }

    override fun onComplete() {
        when (val at = state) {
            State.Waiting -> exchange.unknown(server, "no answer")
            State.Passing -> whole()
            is State.Dropping -> dropped(at.said)
        }
    }

    override fun onFailure(reason: String) {
        val at = state
        if (at is State.Dropping &&
            (at.said.notExecuted || at.said.misdirected)
        ) {
            return exchange.notRun(server, at.said)
        }
        delivery.interrupted()
        exchange.unknown(server, reason)
    }

    private fun pass(response: HttpResponse) {
        state = State.Passing
        delivery.head(response, link)
    }

    private fun whole() {
        if (!delivery.ok) {
            if (exchange.failed(server)) return delivery.interrupted()
        } else {
            server.health.recordSuccess(context.now())
        }
        if (first) event()
        delivery.end()
        exchange.done(if (delivery.ok) "served" else "failed_by_server")
    }

    private fun dropped(said: ServerResponseMetadata) {
        if (said.notExecuted || said.misdirected) return exchange.notRun(server, said)
        exchange.unknown(server, "unsigned ${said.status}")
    }

    private fun event() {
        val now = context.now()
        if (first) {
            first = false
            exchange.firstEvent(now - sentAt, tokensBefore, server)
        } else if (exchange.stream && lastEventAt > 0) {
            exchange.gap(now - lastEventAt, server)
        }
        lastEventAt = now
    }
}
