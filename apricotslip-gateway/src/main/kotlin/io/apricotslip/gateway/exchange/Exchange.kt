package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.gateway.caller.CallerListener
import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.gateway.caller.CallerResponse
import io.apricotslip.gateway.server.HttpConnection
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.placement.PlacementDecision
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.state.RouteKind
import io.apricotslip.serving.state.ServiceSpec
import java.util.concurrent.TimeUnit
import kotlin.math.min

/**
 * One request of a caller from its last byte to its final answer.
 *
 * It may be sent again only while no server may have run it, or when its route lets it run more than once; each sending
 * after the first takes from the budget of the service.
 */
internal class Exchange(
    private val context: ExchangeContext,
    private val request: CallerRequest,
    private val answer: CallerResponse,
    private val facts: RequestMetadata,
    private val route: Route,
    private val service: ServiceId,
    spec: ServiceSpec?,
) : CallerListener {
    private val startedAt = request.arrivedAt
    private val endsAt = startedAt + min(route.timeoutMillis, facts.deadlineMillis ?: Long.MAX_VALUE)
    private val times = Placement.Times(startedAt, endsAt)
    private val tried = HashSet<BackendServerId>()
    private val delivery = Delivery(context, answer, route, facts)
    private val ownAnswer = OwnAnswer(context, answer, delivery, facts.id)
    private val placement = Placement(context, route, facts, service, spec)
    private var reservation: Reservation? = null
    private var link: HttpConnection? = null
    private var sends = 0
    private var runs = 0
    private var loadAsks = 0
    private var missingAt: Server? = null
    private var over = false
    private var firstAt = -1L
    private var longestGap = 0L
    private val timer = context.loop.schedule(::timeUp, endsAt - context.now(), TimeUnit.MILLISECONDS)

    val stream: Boolean = route.kind == RouteKind.STREAM

    /** Starts the exchange. */
    fun begin() {
        context.openExchanges++
        request.body.retain()
        context.rules.retryBudget(service).recordRequest(startedAt)
        place()
    }

    override fun onCallerDisconnected() {
        if (over) return
        val leaves = route.kind != RouteKind.AT_MOST_ONCE
        if (leaves) link?.abandon()
        finish("caller_left", keepLink = !leaves)
    }

    override fun onWritabilityChanged(writable: Boolean) {
        link?.setAutoRead(writable)
    }

    /** Chooses a server and goes there. */
    private fun place() {
        if (over) return
        val now = context.now()
        when (val choice = placement.choose(tried, times, progress(), now)) {
            is PlacementDecision.Send -> send(choice.server, choice.estimateMillis)
            is PlacementDecision.LoadAdapter -> load(choice)
            is PlacementDecision.Wait -> context.loop.schedule(::place, choice.millis, TimeUnit.MILLISECONDS)
            is PlacementDecision.Refuse -> refuse(choice.reason.name.lowercase(), choice.retryAfterMillis)
        }
    }

    private fun progress(): Placement.Progress = when {
        delivery.begun || runs > 0 -> Placement.Progress.STARTED
        loadAsks > 0 || sends > 0 -> Placement.Progress.ACCEPTED
        else -> Placement.Progress.NEW
    }

    private fun load(choice: PlacementDecision.LoadAdapter) {
        val server = choice.server
        val adapter = facts.adapter ?: return
        if (loadAsks >= MOST_LOAD_ASKS) return refuse("load_failed", LOAD_RETRY_MILLIS)
        val progress = progress()
        loadAsks++
        val place = reserve(server)
        val askedAt = context.now()
        val wanted = placement.wanted(adapter, choice.queueMillis, times, progress, askedAt)
        context.servers.adapterLoader.load(server, wanted, missing = missingAt === server) { failure ->
            if (over || reservation !== place) return@load
            if (failure == null) {
                log("loaded", "server=${server.id} adapter=$adapter waited_ms=${context.now() - askedAt}")
                dispatch(server, choice.estimateMillis)
            } else {
                log("load_failed", "server=${server.id} adapter=$adapter reason=$failure")
                place.release()
                tried.add(server.id)
                place()
            }
        }
    }

    private fun send(server: Server, estimate: Long) {
        reserve(server)
        dispatch(server, estimate)
    }

    private fun reserve(server: Server): Reservation {
        reservation?.release()
        return Reservation(server, facts.adapter, facts.promptTokens, facts.maxOutputTokens).also { reservation = it }
    }

    private fun dispatch(server: Server, estimate: Long) {
        if (sends > 0 &&
            !context.rules.retryBudget(service).tryAcquire(context.now(), context.nodeCount())
        ) {
            return exhausted()
        }
        val place = reservation
        context.servers.pool.acquire(server, placement.connections(), route.kind == RouteKind.AT_MOST_ONCE) {
                got,
                failure,
            ->
            when {
                over || reservation !== place -> got?.abandon()
                got == null -> unreachable(server, failure.orEmpty())
                else -> write(server, got, estimate)
            }
        }
    }

    private fun unreachable(server: Server, failure: String) {
        log("unreachable", "server=${server.id} reason=\"$failure\"")
        if (failure != "connection limit") server.health.recordUnreachable(context.now())
        reservation?.release()
        tried.add(server.id)
        if (tried.size > MOST_TRIED) return refuse("unreachable", LOAD_RETRY_MILLIS)
        place()
    }

    private fun write(server: Server, got: HttpConnection, estimate: Long) {
        val now = context.now()
        val left = endsAt - now - ANSWER_MILLIS
        if (left <= 0) {
            got.abandon()
            return refuse("no_time", 0)
        }
        link = got
        got.abandonOnSilence = route.kind != RouteKind.AT_MOST_ONCE
        sends++
        val version = facts.adapter?.let { context.rules.requiredVersion(it, now) }
        val send = ServerRequestMetadata(server.id, left, delivery.lastEvent, version, placement.priority())
        log("sent", "server=${server.id} send=$sends entry_age_ms=${now - server.entryReadAt} estimate_ms=$estimate")
        val headers = context.dialect.serverRequestHeaders(request.headers, send)
        val tokens = server.totalUtilization(now).pendingPromptTokens
        val attempt = Attempt(this, context, delivery, server, got, facts.id, tokens, now)
        got.send(request.method, request.uri, headers, request.body.retainedDuplicate(), attempt)
        got.setAutoRead(answer.isWritable)
    }

    /** The server said that it did not run the request. */
    fun notRun(server: Server, said: ServerResponseMetadata) {
        link = null
        reservation?.release()
        log("not_run", "server=${server.id} status=${said.status} answered_by=${said.serverId}")
        val other = said.serverId != null && said.serverId != server.id.value
        when {
            other -> {
                server.health.recordUnreachable(context.now())
                tried.add(server.id)
            }
            said.misdirected -> {
                facts.adapter?.let(server::markAdapterMissing)
                missingAt = server
            }
            else -> tried.add(server.id)
        }
        again("not_run")
    }

    /** The server answered that it ran the request and failed; returns whether the request goes elsewhere. */
    fun failed(server: Server): Boolean {
        runs++
        server.health.recordFailure()
        if (!route.retryable || runs >= route.maxAttempts || delivery.begun) return false
        if (context.now() + route.targetLatencyMillis / 2 > endsAt) return false
        if (!context.rules.retryBudget(service).available(context.now(), context.nodeCount())) return false
        link = null
        reservation?.release()
        tried.add(server.id)
        log("failed", "server=${server.id} runs=$runs")
        again("failed")
        return true
    }

    /** The outcome at the server is not known. */
    fun unknown(server: Server, reason: String) {
        runs++
        link = null
        reservation?.release()
        server.health.recordFailure()
        tried.add(server.id)
        log("broken", "server=${server.id} reason=\"$reason\" runs=$runs event=${delivery.lastEvent}")
        if (over) return
        if (route.retryable && runs < route.maxAttempts) again("broken") else lost(reason)
    }

    /** The whole answer was passed on. */
    fun done(outcome: String) {
        link = null
        finish(outcome, keepLink = true)
    }

    /** First byte or event for the caller. */
    fun firstEvent(millisSinceSend: Long, tokensBefore: Long, server: Server) {
        reservation?.read()
        if (firstAt < 0) firstAt = context.now()
        if (stream) server.latencyEstimator.recordFirstEvent(tokensBefore, millisSinceSend)
        context.metrics.recordFirstByte(route.kind.name, context.now() - startedAt)
    }

    /** Two events of a stream came [millis] apart. */
    fun gap(millis: Long, server: Server) {
        server.latencyEstimator.recordGap(millis)
        longestGap = maxOf(longestGap, millis)
    }

    private fun again(reason: String) {
        if (sends > MOST_SENDS) return exhausted()
        context.metrics.recordRetry(reason)
        place()
    }

    private fun exhausted() {
        reservation?.release()
        if (runs > 0) lost("repeat budget") else refuse("repeat_budget", LOAD_RETRY_MILLIS)
    }

    /** Ends a request that may have run. */
    private fun lost(reason: String) {
        ownAnswer.lost()
        finish("lost reason=\"$reason\"", keepLink = false)
    }

    /** Ends a request that has not run and will not. */
    private fun refuse(reason: String, retryAfterMillis: Long) {
        if (runs > 0 || delivery.begun) return lost(reason)
        context.metrics.recordRefusal(reason)
        val after = ownAnswer.notRun(retryAfterMillis)
        finish("refused reason=$reason retry_after_ms=$after", keepLink = false)
    }

    private fun timeUp() {
        if (over) return
        val sent = link != null
        link?.abandon()
        link = null
        if (sent || runs > 0) ownAnswer.late() else ownAnswer.notRun(retryAfterMillis = 0)
        finish("time_up sent=$sent", keepLink = false)
    }

    private fun finish(outcome: String, keepLink: Boolean) {
        if (over) return
        over = true
        timer.cancel(false)
        if (!keepLink) link?.abandon()
        link = null
        reservation?.release()
        delivery.release()
        request.body.release()
        context.openExchanges--
        context.metrics.recordRequest(route.kind.name, outcome.substringBefore(' '))
        val first = if (firstAt < 0) firstAt else firstAt - startedAt
        log("ended", "outcome=$outcome sends=$sends ms=${context.now() - startedAt} first_ms=$first gap_ms=$longestGap")
    }

    private fun log(event: String, detail: String) {
        context.log.write { "event=$event request=${facts.id} route=${route.name} $detail" }
    }

    private companion object {
        const val MOST_LOAD_ASKS = 2
        const val MOST_TRIED = 3
        const val MOST_SENDS = 4

        /** A few adapter loads. */
        const val LOAD_RETRY_MILLIS = 400L

        /** Time for a server's own answer at its deadline to arrive before this node gives up. */
        const val ANSWER_MILLIS = 30L
    }
}
