package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.peer.StreamOrigin
import io.apricotslip.gateway.caller.CallerListener
import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.gateway.caller.CallerResponse
import io.apricotslip.gateway.exchange.GatewayResponse.Companion.RETRY_AFTER_MILLIS
import io.apricotslip.gateway.help.HandOver
import io.apricotslip.gateway.room.RoomPlace
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
) : CallerListener,
    RoomPlace.Handler {
    val continuity = StreamContinuity(context, route, metadata.id, origin)
    private val placement = Placement(context, route, metadata, service, spec, continuity, request.owner)
    private val deadlineAt = context.deadlineAt(route, metadata, request.arrivedAt)
    private val timing = Placement.Timing(request.arrivedAt, deadlineAt)
    private val pace = context.servers.pace
    private val triedServers = TriedServers(metadata, pace)
    private val forwarder = ResponseForwarder(context, response, route, metadata)
    private val gatewayResponse =
        GatewayResponse(context, response, forwarder, metadata.id, request.permit, request.passedOnToken)
    private val traits = RequestTraits(request, metadata)
    val requestGate = RequestGate(context, traits, service)
    private val needs = RoomPlace.Needs.of(request, route, metadata, deadlineAt)
    private val place = RoomPlace.of(context, request, service, needs, traits, this)
    private val sendCheck = SendCheck(context, requestGate, continuity)
    val silenceLimits = SilenceLimits(route.targetLatencyMillis, route.targetGapMillis)
    private val counts = AttemptCounts(continuity.isTakenUp)
    val attempts = OpenAttempts(this, metadata, response, forwarder, counts, pace, context.now)
    private var finished = false
    private val handOver = HandOver(context, request, response, metadata, route, deadlineAt)
    val detour =
        Detour(context, route, service, placement, timing, counts, triedServers, handOver, sendCheck, forwarder)

    /** The attempt in progress; null while the request is at no server. */
    val attempt: Attempt?
        get() = attempts.current
    private val deadlineTimer =
        context.loop.schedule(::endUnfinished, deadlineAt - context.now(), TimeUnit.MILLISECONDS)
    val runsOnce = route.kind == RouteKind.AT_MOST_ONCE
    val isStream = route.kind == RouteKind.STREAM
    val timings = AnswerTimings(context, route, request.arrivedAt)
    private val adapterLoad = AdapterLoad(this, context, placement, timing, counts, triedServers)
    private val dispatcher = Dispatcher(
        exchange = this,
        context,
        service,
        request,
        response,
        metadata,
        placement,
        timing,
        forwarder,
        sendCheck,
        counts,
        triedServers,
        attempts,
    )
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
        if (attempt == null && counts.executions == 0 && !attempts.hasFallback) request.permit.refund(context.now())
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
            is RequestStanding.Quarantined -> return endQuarantined(standing)
        }
        if (!place.isHeld && !place.tryTake(waits = progress == Placement.Progress.NEW)) return
        when (val decision = placement.choose(triedServers.excluded, timing, progress, context.now())) {
            is PlacementDecision.Send -> {
                attempts.reserve(decision.server)
                dispatch(decision.server, decision.estimateMillis)
            }
            is PlacementDecision.LoadAdapter -> loadAdapter(decision)
            is PlacementDecision.Wait -> if (!place.putBack(decision, progress)) selectServerLater(decision.millis)
            is PlacementDecision.Refuse -> if (!place.putBack(decision, progress)) {
                refuse(decision.reason.name.lowercase(), decision.retryAfterMillis, decision.noServer)
            }
        }
    }

    override fun onPlace() = selectServer()
    override fun onNoPlace(reason: String, retryAfterMillis: Long) = refuse(reason, retryAfterMillis)

    private fun passOn(reason: String? = null, unreachable: Boolean = false): Boolean {
        if (!handOver.tryStart(counts.executions, forwarder.started, unreachable)) return false
        finish("passed_on reason=$reason", keepConnection = false)
        return true
    }

    private fun selectServerLater(millis: Long) {
        attempts.nextSelection = context.loop.schedule(::selectServer, millis, TimeUnit.MILLISECONDS)
    }

    private fun loadAdapter(decision: PlacementDecision.LoadAdapter) {
        val adapter = metadata.adapter ?: return
        if (counts.loadsExhausted) return refuse("load_failed")
        adapterLoad.start(decision, adapter, progress) { loaded ->
            if (loaded) dispatch(decision.server, decision.estimateMillis) else selectServer()
        }
    }

    private fun dispatch(server: Server, estimateMillis: Long) =
        dispatcher.dispatch(server, estimateMillis) { notSent ->
            when (notSent) {
                Dispatcher.NotSent.NoRetryBudget -> endWithoutRetry()
                Dispatcher.NotSent.NoTime -> refuse("no_time", 0)
                is Dispatcher.NotSent.Blocked -> selectOther(server, notSent.obstacle)
                is Dispatcher.NotSent.Unreachable -> onUnreachable(server, notSent.failure)
            }
        }

    /** Selects again because [server] may not be sent the request any more, for [obstacle]. */
    private fun selectOther(server: Server, obstacle: String) {
        log("not_sent", "server=${server.id} reason=$obstacle")
        attempts.releaseCurrent()
        selectServer()
    }

    private fun onUnreachable(server: Server, failure: String) {
        log("unreachable", "server=${server.id} reason=\"$failure\"")
        triedServers.recordUnreachable(server, failure, context.now())
        attempts.releaseCurrent()
        if (triedServers.exhausted) return refuse("unreachable", unreachable = true)
        selectServer()
    }

    /** Handles a response by which the server states that it did not execute the request. */
    fun onNotExecuted(server: Server, head: ServerResponseMetadata) {
        attempts.releaseCurrent()
        log("not_run", "server=${server.id} status=${head.status} answered_by=${head.serverId}")
        triedServers.recordNotExecuted(server, head, context.now())
        retry("not_run")
    }

    /** Handles a response by which the server states that it executed the request and failed; returns if retried. */
    fun onServerFailure(server: Server): Boolean {
        counts.executions++
        server.health.recordFailure()
        if ((forwarder.receivedStatusCode ?: 0) >= SERVER_ERROR) server.timing.recordFailure(context.now())
        if (forwarder.started || !placement.mayRepeatFailed(counts.executions, timing, context.now())) return false
        attempts.releaseCurrent()
        triedServers.exclude(server, "failed, ${forwarder.receivedStatusCode}")
        log("failed", "server=${server.id} runs=${counts.executions}")
        retry("failed")
        return true
    }

    /** Handles the end of [ended], after which it is unknown whether the server executed the request. */
    fun onOutcomeUnknown(ended: Attempt, reason: String) {
        val wasFallback = attempts.onOutcomeUnknown(ended)
        recordUnknown(ended.server, reason)
        if (finished || wasFallback) return
        val repeatable = route.retryable && counts.executions < route.maxAttempts && forwarder.canContinue
        if (repeatable) retry("broken") else endAsLost(reason)
    }

    private fun recordUnknown(server: Server, reason: String) {
        server.health.recordFailure()
        server.timing.recordFailure(context.now())
        pace.recordFailed(server)
        triedServers.exclude(server, reason)
        val runs = "runs=${counts.executions} event=${forwarder.lastEventId} $traits"
        log("broken", "server=${server.id} reason=\"$reason\" $runs")
    }

    /** Tries the request elsewhere, because its server is silent, and keeps the attempt there until another answers. */
    fun tryElsewhere() {
        val silent = attempt ?: return
        if (attempts.hasFallback) return silent.fail(SERVER_SILENT)
        attempts.keepAsFallback()
        recordUnknown(silent.server, SERVER_SILENT)
        retry("broken")
    }

    /** Ends the request at once if it waits for an answer and has been put into quarantine. */
    fun endIfQuarantined() {
        val standing = requestGate.standing()
        if (finished || requestGate.answered || standing !is RequestStanding.Quarantined) return
        if (attempt != null) counts.executions++
        endQuarantined(standing)
    }

    private fun endQuarantined(standing: RequestStanding.Quarantined) {
        attempts.abandonFallback()
        refuse("quarantined", standing.millis)
    }

    fun onResponseForwarded(outcome: String) = finish(outcome, keepConnection = true)

    /** Records the first byte or event for the caller. */
    fun onFirstEvent(millisSinceSend: Long, pendingPromptTokensBefore: Long, server: Server) {
        attempts.reservation?.onPromptProcessed()
        place.onAnswer(millisSinceSend)
        if (forwarder.success) {
            continuity.onEvent(server)
            timings.recordForFleet(millisSinceSend, pendingPromptTokensBefore, server)
        }
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
        if (attempts.fallBack(reason)) return
        gatewayResponse.sendLost()
        finish("lost reason=\"$reason\"", keepConnection = false)
    }

    /** Ends a request that has not been executed and will not be. */
    private fun refuse(reason: String, retryAfterMillis: Long = RETRY_AFTER_MILLIS, unreachable: Boolean = false) {
        if (passOn(reason, unreachable) || attempts.fallBack(reason)) return
        if (counts.executions > 0 || forwarder.started) return endAsLost(reason)
        context.metrics.recordRefusal(reason)
        val after = gatewayResponse.sendNotExecuted(retryAfterMillis, declines = unreachable)
        place.onToldToReturn(after)
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
        attempts.end(keepConnection)
        place.end()
        forwarder.release()
        request.body.release()
        context.openRequests.remove(this)
        context.metrics.recordRequest(route.kind.name, outcome.substringBefore(' '))
        val answer = "${forwarder.statuses("server")} caller=${request.place}"
        log(
            "ended",
            "outcome=$outcome sends=${counts.dispatches} $timings $answer $triedServers $traits${request.owner}",
        )
    }

    /** Logs [event] of this request. */
    override fun log(event: String, detail: String) =
        context.log.write { "event=$event request=${metadata.id} route=${route.name} $detail" }

    private companion object {
        /** Lower codes are faults of the request. */
        const val SERVER_ERROR = 500
        const val SERVER_SILENT = "server silent"
    }
}
