package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.ServiceId
import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.gateway.caller.CallerResponse
import io.apricotslip.gateway.server.HttpConnection
import io.apricotslip.serving.fleet.Server

/** Sends the request of [exchange] to the server that was selected for it, on a connection of the pool. */
internal class Dispatcher(
    private val exchange: Exchange,
    private val context: ExchangeContext,
    private val service: ServiceId,
    private val request: CallerRequest,
    private val response: CallerResponse,
    private val metadata: RequestMetadata,
    private val placement: Placement,
    private val timing: Placement.Timing,
    private val forwarder: ResponseForwarder,
    private val sendCheck: SendCheck,
    private val counts: AttemptCounts,
    private val triedServers: TriedServers,
    private val attempts: OpenAttempts,
) {
    /** Why a request was not sent. */
    sealed class NotSent {
        /** The service gets no more repeated requests for now. */
        data object NoRetryBudget : NotSent()

        /** The time of the request is used up. */
        data object NoTime : NotSent()

        /** The server may not get the request, for [obstacle]. */
        class Blocked(val obstacle: String) : NotSent()

        /** No connection to the server could be had, for [failure]. */
        class Unreachable(val failure: String) : NotSent()
    }

    /**
     * Sends the request to [server], for which capacity is reserved; [onNotSent] gets the reason if that was not
     * possible. Neither happens if the reservation was replaced meanwhile.
     */
    fun dispatch(server: Server, estimateMillis: Long, onNotSent: (NotSent) -> Unit) {
        val obstacle = sendCheck.obstacle(server)
        if (obstacle != null) return onNotSent(NotSent.Blocked(obstacle))
        val budget = context.rules.retryBudget(service)
        if (counts.dispatches > 0 && !budget.tryAcquire(context.now(), context.nodeCount())) {
            return onNotSent(NotSent.NoRetryBudget)
        }
        val reserved = attempts.reservation
        val limit = placement.maxConnections()
        val exclusive = metadata.needsOwnConnection(request.method)
        val used = triedServers.usedConnections
        context.servers.pool.acquire(server, limit, exchange.runsOnce, used, exclusive) { acquired, failure ->
            when {
                attempts.reservation !== reserved -> acquired?.abandon()
                acquired == null -> onNotSent(NotSent.Unreachable(failure.orEmpty()))
                else -> send(server, acquired, estimateMillis)?.let(onNotSent)
            }
        }
    }

    /** Sends the request on [acquired]; returns why not if it did not. */
    private fun send(server: Server, acquired: HttpConnection, estimateMillis: Long): NotSent? {
        val now = context.now()
        val budgetMillis = timing.serverBudgetMillis(now)
        val obstacle = sendCheck.obstacle(server)
        if (obstacle != null || budgetMillis <= 0) {
            acquired.abandon()
            return if (obstacle != null) NotSent.Blocked(obstacle) else NotSent.NoTime
        }
        triedServers.recordConnection(acquired)
        counts.dispatches++
        attempts.reservation?.onSent()
        val serverMetadata = placement.serverRequest(server, budgetMillis, forwarder.lastEventId, now)
        val entry = "entry_age_ms=${now - server.entryReadAt} software=${server.entry.software}"
        val state = "$entry after_event=${forwarder.lastEventId} estimate_ms=$estimateMillis"
        exchange.log("sent", "server=${server.id} send=${counts.dispatches} $state")
        val headers = context.dialect.serverRequestHeaders(request.headers, serverMetadata)
        val sent = Attempt(exchange, context, forwarder, server, acquired, metadata.id, now, estimateMillis)
        attempts.current = sent
        acquired.send(request.method, request.uri, headers, request.body.retainedDuplicate(), sent)
        acquired.setAutoRead(response.isWritable)
        return null
    }
}
