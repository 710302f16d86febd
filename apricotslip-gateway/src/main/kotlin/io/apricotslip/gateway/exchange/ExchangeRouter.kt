package io.apricotslip.gateway.exchange

import io.apricotslip.gateway.caller.CallerHandler
import io.apricotslip.gateway.caller.CallerListener
import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.gateway.caller.CallerResponse
import io.apricotslip.gateway.server.ServerConnectionPool
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.state.DesiredState
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import kotlin.random.Random

/** Finds the route of each request and starts its exchange. */
internal class ExchangeRouter(private val context: ExchangeContext) : CallerHandler {
    private object Nobody : CallerListener {
        override fun onCallerDisconnected() = Unit

        override fun onWritabilityChanged(writable: Boolean) = Unit
    }

    /** Requests under way. */
    val openCount: Int
        get() = context.openExchanges

    private val early = EarlyRequests(context.loop, serves = ::serve, refuses = ::notReady)

    override fun handle(request: CallerRequest, response: CallerResponse): CallerListener = when {
        context.stopping() -> notReady(request, response)
        context.initializing() -> early.keep(request, response)
        else -> serve(request, response)
    }

    /** The node has read what it serves. */
    fun onStateLoaded() = early.release()

    private fun notReady(request: CallerRequest, answer: CallerResponse): CallerListener {
        val facts = context.dialect.parseRequestHeaders(request.headers)
        return refuse(answer, facts, HttpResponseStatus.SERVICE_UNAVAILABLE, NOT_READY_RETRY_MILLIS, "not_ready")
    }

    private fun serve(request: CallerRequest, answer: CallerResponse): CallerListener {
        val facts = context.dialect.parseRequestHeaders(request.headers)
        val state = context.desiredState() ?: return notReady(request, answer)
        val host = request.headers.get(HttpHeaderNames.HOST).orEmpty().substringBefore(':')
        val route = state.route(host, request.path)
            ?: return refuse(answer, facts, HttpResponseStatus.NOT_FOUND, null, "no_route version=${state.version}")
        val service = route.serviceAt(Random.nextDouble())
        val exchange = Exchange(context, request, answer, facts, route, service, state.services[service])
        exchange.begin()
        return exchange
    }

    /** Gives up requests at servers that sent nothing for too long, and avoids those servers for a while. */
    fun failSilentRequests(servers: Collection<Server>, pool: ServerConnectionPool, now: Long) {
        for (server in servers) {
            val busy = pool.busyConnections(server.id)
            if (busy.isEmpty()) continue
            val silent = busy.filter { it.busy && now - it.lastActiveAt > SILENT_LINK_MILLIS && it.abandonOnSilence }
            val deaf = now - server.health.lastHeardAt > SILENT_SERVER_MILLIS
            val waiting = busy.filter { it.busy && now - it.lastActiveAt > SILENT_SERVER_MILLIS && it.abandonOnSilence }
            if (deaf && waiting.isNotEmpty()) server.health.recordUnreachable(now)
            val given = if (deaf) waiting else silent
            given.forEach { it.fail("server silent") }
        }
    }

    private fun refuse(
        answer: CallerResponse,
        facts: RequestMetadata,
        status: HttpResponseStatus,
        retryAfterMillis: Long?,
        reason: String,
    ): CallerListener {
        context.metrics.recordRefusal(reason.substringBefore(' '))
        context.log.write { "event=refused request=${facts.id} status=${status.code()} reason=$reason" }
        answer.sendFull(
            status,
            context.dialect.gatewayResponseHeaders(facts.id, retryAfterMillis),
            Unpooled.EMPTY_BUFFER,
        )
        return Nobody
    }

    private companion object {
        /** About the time until a starting node has read the store, or a peer answers instead of a stopping one. */
        const val NOT_READY_RETRY_MILLIS = 300L

        /** Many event pauses: an engine with requests under way sends something far more often. */
        const val SILENT_SERVER_MILLIS = 900L

        /** A stream alone may pause while others of the same engine go on, when its memory was taken. */
        const val SILENT_LINK_MILLIS = 2_000L
    }
}
