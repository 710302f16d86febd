package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.peer.StreamOrigin
import io.apricotslip.gateway.caller.CallerListener
import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.gateway.caller.CallerResponse
import io.apricotslip.gateway.exchange.GatewayResponse.Companion.RETRY_AFTER_MILLIS
import io.apricotslip.gateway.help.HandOver
import io.apricotslip.gateway.server.HttpConnection
import io.apricotslip.serving.crash.RequestStanding
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.placement.PlacementDecision
import io.apricotslip.serving.retry.SilenceLimits
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.state.RouteKind
import io.apricotslip.serving.state.ServiceSpec
import java.util.concurrent.TimeUnit
import kotlin.math.min

/**
 * One request of a caller, from its last byte to its final response.
 *
 * The request is retried only while no server may have executed it, or when its route allows repeated execution. Each
 * dispatch after the first draws on the retry budget of the service.
 */
internal class Exchange(
    private val context: ExchangeContext,
    private val request: CallerRequest,
    private val response: CallerResponse,
    private val metadata: RequestMetadata,
    private val route: Route,
    private val service: ServiceId,
    spec: ServiceSpec?,
    origin: StreamOrigin? = null,
) : CallerListener {
    val continuity = StreamContinuity(context, route, metadata.id, origin)
    private val placement = Placement(context, route, metadata, service, spec, continuity)
    private val deadlineAt = context.deadlineAt(route, metadata, request.arrivedAt)
    private val timing = Placement.Timing(request.arrivedAt, deadlineAt)
    private val triedServers = TriedServers(metadata)
    private val forwarder = ResponseForwarder(context, response, route, metadata)
    private val gatewayResponse = GatewayResponse(context, response, forwarder, metadata.id, request.passedOnToken)
    private val traits = RequestTraits(request, metadata)
    val requestGate = RequestGate(context, traits, service)
    private val sendCheck = SendCheck(context, requestGate, continuity)
    val silenceLimits = SilenceLimits(route.targetLatencyMillis, route.targetGapMillis)
    private var reservation: Reservation? = null
    private val counts = AttemptCounts(continuity.isTakenUp)
    private var finished = false
    private val handOver = HandOver(context, request, response, metadata, route, deadlineAt)
    val detour =
        Detour(context, route, service, placement, timing, counts, triedServers, handOver, sendCheck, forwarder)

    /** The attempt in progress; null while the request is at no server. */
    var attempt: Attempt? = null
        private set
    private val deadlineTimer =
        context.loop.schedule(::endUnfinished, deadlineAt - context.now(), TimeUnit.MILLISECONDS)
    val runsOnce = route.kind == RouteKind.AT_MOST_ONCE
    val isStream = route.kind == RouteKind.STREAM
    val timings = AnswerTimings(context, route, request.arrivedAt)
    private val progress get() = counts.progress(forwarder.started)

    fun start() {
        request.body.retain()
        context.openRequests.add(this)
        context.rules.retryBudget(service).recordRequest(request.arrivedAt)
        context.rules.traffic.recordRequest(request.arrivedAt)
        selectServer()
    }

    override fun onCallerDisconnected() {
        handOver.successor?.onCallerDisconnected()
        if (finished) return
        if (runsOnce) traits.keep() else attempt?.abandon()
        finish("caller_left", keepConnection = runsOnce)
    }

    override fun onWritabilityChanged(writable: Boolean) {
        handOver.successor?.onWritabilityChanged(writable)
        attempt?.setAutoRead(writable)
    }

    /** Selects a server and carries out the decision: sends the request, loads the adapter, waits or refuses. */
    private fun selectServer() {
        if (finished || passOn()) return
        when (val standing = requestGate.standing()) {
            RequestStanding.Clear -> Unit
            is RequestStanding.Suspended -> {
                counts.suspended = true
                return selectServerLater(min(standing.millis, RequestGate.SUSPENDED_POLL_MILLIS))
            }
            is RequestStanding.Quarantined -> return refuse("quarantined", standing.millis)
        }
        when (val decision = placement.choose(triedServers.excluded, timing, progress, context.now())) {
            is PlacementDecision.Send -> {
                reserve(decision.server)
                dispatch(decision.server, decision.estimateMillis)
            }
            is PlacementDecision.LoadAdapter -> loadAdapter(decision)
            is PlacementDecision.Wait -> selectServerLater(decision.millis)
            is PlacementDecision.Refuse ->
                refuse(decision.reason.name.lowercase(), decision.retryAfterMillis, decision.noServer)
        }
    }

    private fun passOn(reason: String? = null, unreachable: Boolean = false): Boolean {
        if (!handOver.tryStart(counts.executions, forwarder.started, unreachable)) return false
        finish("passed_on reason=$reason", keepConnection = false)
        return true
    }

    private fun selectServerLater(millis: Long) {
        context.loop.schedule(::selectServer, millis, TimeUnit.MILLISECONDS)
    }

    private fun loadAdapter(decision: PlacementDecision.LoadAdapter) {
        val server = decision.server
        val adapter = metadata.adapter ?: return
        if (counts.loadsExhausted) return refuse("load_failed")
        val loadRequest = placement.loadRequest(adapter, decision.queueMillis, timing, progress, context.now())
        counts.loadRequests++
        val reserved = reserve(server)
        val requestedAt = context.now()
        context.servers.adapterLoader.load(server, loadRequest, triedServers.missingAdapter === server) { failure ->
            if (finished || reservation !== reserved) return@load
            val detail = "server=${server.id} adapter=$adapter waited_ms=${context.now() - requestedAt}"
            if (failure == null) {
                log("loaded", detail)
                return@load dispatch(server, decision.estimateMillis)
            }
            log("load_failed", "$detail reason=$failure")
            triedServers.exclude(server, "load: $failure")
            releaseServer()
            selectServer()
        }
    }

    private fun releaseServer() {
        attempt = null
        reservation?.release()
    }

    private fun reserve(server: Server): Reservation {
        reservation?.release()
        return Reservation(server, metadata, context.now).also { reservation = it }
    }

    private fun dispatch(server: Server, estimateMillis: Long) {
        val obstacle = sendCheck.obstacle(server)
        if (obstacle != null) return selectOther(server, obstacle)
        val budget = context.rules.retryBudget(service)
        if (counts.dispatches > 0 && !budget.tryAcquire(context.now(), context.nodeCount())) return endWithoutRetry()
        val reserved = reservation
        val limit = placement.maxConnections()
        val exclusive = metadata.needsOwnConnection(request.method)
        val used = triedServers.usedConnections
        context.servers.pool.acquire(server, limit, runsOnce, used, exclusive) { acquired, failure ->
            when {
                finished || reservation !== reserved -> acquired?.abandon()
                acquired == null -> onUnreachable(server, failure.orEmpty())
                else -> sendRequest(server, acquired, estimateMillis)
            }
        }
    }

    /** Selects again because [server] may not be sent the request any more, for [obstacle]. */
    private fun selectOther(server: Server, obstacle: String) {
        log("not_sent", "server=${server.id} reason=$obstacle")
        reservation?.release()
        selectServer()
    }

    private fun onUnreachable(server: Server, failure: String) {
        log("unreachable", "server=${server.id} reason=\"$failure\"")
        triedServers.recordUnreachable(server, failure, context.now())
        reservation?.release()
        if (triedServers.exhausted) return refuse("unreachable", unreachable = true)
        selectServer()
    }

    private fun sendRequest(server: Server, acquired: HttpConnection, estimateMillis: Long) {
        val now = context.now()
        val budgetMillis = timing.serverBudgetMillis(now)
        val obstacle = sendCheck.obstacle(server)
        if (obstacle != null || budgetMillis <= 0) {
            acquired.abandon()
            return if (obstacle != null) selectOther(server, obstacle) else refuse("no_time", 0)
        }
        triedServers.recordConnection(acquired)
        counts.dispatches++
        reservation?.onSent()
        val serverMetadata = placement.serverRequest(server, budgetMillis, forwarder.lastEventId, now)
        val entry = "entry_age_ms=${now - server.entryReadAt} software=${server.entry.software}"
        val state = "$entry after_event=${forwarder.lastEventId} estimate_ms=$estimateMillis"
        log("sent", "server=${server.id} send=${counts.dispatches} $state")
        val headers = context.dialect.serverRequestHeaders(request.headers, serverMetadata)
        val sent = Attempt(this, context, forwarder, server, acquired, metadata.id, now, estimateMillis)
        attempt = sent
        acquired.send(request.method, request.uri, headers, request.body.retainedDuplicate(), sent)
        acquired.setAutoRead(response.isWritable)
    }

    /** Handles a response by which the server states that it did not execute the request. */
    fun onNotExecuted(server: Server, head: ServerResponseMetadata) {
        releaseServer()
        log("not_run", "server=${server.id} status=${head.status} answered_by=${head.serverId}")
        triedServers.recordNotExecuted(server, head, context.now())
        retry("not_run")
    }

    /** Handles a response by which the server states that it executed the request and failed; returns if retried. */
    fun onServerFailure(server: Server): Boolean {
        counts.executions++
        server.health.recordFailure()
        if (forwarder.started || !placement.mayRepeatFailed(counts.executions, timing, context.now())) return false
        releaseServer()
        triedServers.exclude(server, "failed, ${forwarder.receivedStatusCode}")
        log("failed", "server=${server.id} runs=${counts.executions}")
        retry("failed")
        return true
    }

    /** Handles an attempt after which it is unknown whether the server executed the request. */
    fun onOutcomeUnknown(server: Server, reason: String) {
        counts.executions++
        releaseServer()
        server.health.recordFailure()
        triedServers.exclude(server, reason)
        val runs = "runs=${counts.executions} event=${forwarder.lastEventId} $traits"
        log("broken", "server=${server.id} reason=\"$reason\" $runs")
        if (finished) return
        val repeatable = route.retryable && counts.executions < route.maxAttempts && forwarder.canContinue
        if (repeatable) retry("broken") else endAsLost(reason)
    }

    /** Ends the request at once if it waits for an answer and has been put into quarantine. */
    fun endIfQuarantined() {
        val standing = requestGate.standing()
        if (finished || requestGate.answered || standing !is RequestStanding.Quarantined) return
        if (attempt != null) counts.executions++
        refuse("quarantined", standing.millis)
    }

    fun onResponseForwarded(outcome: String) = finish(outcome, keepConnection = true)

    /** Records the first byte or event for the caller. */
    fun onFirstEvent(millisSinceSend: Long, pendingPromptTokensBefore: Long, server: Server) {
        reservation?.onPromptProcessed()
        if (forwarder.success) continuity.onEvent(server)
        timings.recordFirstEvent(millisSinceSend, pendingPromptTokensBefore, server)
    }

    private fun retry(reason: String) {
        if (counts.retriesExhausted) return endWithoutRetry()
        context.metrics.recordRetry(reason)
        selectServer()
    }

    private fun endWithoutRetry() = if (counts.executions > 0) endAsLost("repeat budget") else refuse("repeat_budget")

    /** Ends a request that may have been executed and whose response was lost. */
    private fun endAsLost(reason: String) {
        gatewayResponse.sendLost()
        finish("lost reason=\"$reason\"", keepConnection = false)
    }

    /** Ends a request that has not been executed and will not be. */
    private fun refuse(reason: String, retryAfterMillis: Long = RETRY_AFTER_MILLIS, unreachable: Boolean = false) {
        if (passOn(reason, unreachable)) return
        if (counts.executions > 0 || forwarder.started) return endAsLost(reason)
        context.metrics.recordRefusal(reason)
        val after = gatewayResponse.sendNotExecuted(retryAfterMillis, declines = unreachable)
        finish("refused reason=$reason retry_after_ms=$after", keepConnection = false)
    }

    /** Ends the request at its deadline, or at the end of the node. */
    fun endUnfinished() {
        if (finished) return
        val sent = attempt?.also(Attempt::abandon) != null
        if (sent || counts.executions > 0) gatewayResponse.sendTimeout() else gatewayResponse.sendNotExecuted(0)
        finish("time_up sent=$sent", keepConnection = false)
    }

    private fun finish(outcome: String, keepConnection: Boolean) {
        if (finished) return
        finished = true
        deadlineTimer.cancel(false)
        if (keepConnection) attempt?.setAutoRead(true) else attempt?.abandon()
        releaseServer()
        forwarder.release()
        request.body.release()
        context.openRequests.remove(this)
        context.metrics.recordRequest(route.kind.name, outcome.substringBefore(' '))
        val answer = "${forwarder.statuses("server")} caller=${request.place}"
        log("ended", "outcome=$outcome sends=${counts.dispatches} $timings $answer $triedServers $traits")
    }

    private fun log(event: String, detail: String) =
        context.log.write { "event=$event request=${metadata.id} route=${route.name} $detail" }
}
