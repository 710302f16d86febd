package io.apricotslip.gateway.help

import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.FleetMessage.Helper
import io.apricotslip.gateway.caller.CallerListener
import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.gateway.caller.CallerResponse
import io.apricotslip.gateway.exchange.ExchangeContext
import io.apricotslip.gateway.exchange.GatewayResponse
import io.apricotslip.gateway.exchange.RequestMetadata
import io.apricotslip.gateway.exchange.ResponseForwarder
import io.apricotslip.gateway.server.HttpConnection
import io.apricotslip.gateway.server.ResponseListener
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.state.RouteKind
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import java.util.concurrent.TimeUnit

/**
 * A request that another node serves because this one reaches no backend server.
 *
 * The helper serves it as a request of its own, so that all decisions on servers are made where servers are reached. It
 * does not pass it on again. A helper that has got the request may have had it executed, whatever becomes of the
 * connection to it; only one that declines, or that could not be connected to, surely has not.
 *
 * @param executions times that servers may have executed the request before.
 * @param maxHelpers number of helpers that are tried at most.
 */
internal class PassedOnRequest(
    private val context: ExchangeContext,
    private val request: CallerRequest,
    private val response: CallerResponse,
    private val metadata: RequestMetadata,
    private val route: Route,
    private val deadlineAt: Long,
    executions: Int = 0,
    private val maxHelpers: Int = MAX_HELPERS,
) : CallerListener {
    private val help = context.help
    private val forwarder = ResponseForwarder(context, response, route, metadata)
    private val gatewayResponse = GatewayResponse(context, response, forwarder, metadata.id, request.permit)
    private val tried = HashSet<VmId>()
    private var helper: Helper? = null
    private var connection: HttpConnection? = null
    private var mayHaveRun = executions
    private var finished = false
    private val deadlineTimer =
        context.loop.schedule(::endUnfinished, maxOf(0, deadlineAt - context.now()), TimeUnit.MILLISECONDS)

    fun start(): CallerListener {
        request.body.retain()
        help.open.add(this)
        passOn()
        return this
    }

    override fun onCallerDisconnected() {
        if (!finished && mayHaveRun == 0) request.permit.refund(context.now())
        finish("caller_left")
    }

    override fun onWritabilityChanged(writable: Boolean) {
        connection?.setAutoRead(writable)
    }

    /** Fails the connection to a helper that is not heard of any more, if the request can go to another one. */
    fun failIfHelperSilent() {
        val current = connection ?: return
        val vm = helper?.vm ?: return
        val silent = context.now() - current.lastActiveAt > HELPER_SILENCE_MILLIS &&
            !help.helpers.isHeard(vm, HELPER_SILENCE_MILLIS, context.now())
        if (silent && canGoOn() && selectHelper() != null) current.fail("helper silent")
    }

    private fun selectHelper(): Helper? =
        if (tried.size < maxHelpers) help.helpers.select(tried, context.now()) else null

    /** Whether the request may be executed once more although the helper that has got it may have had it executed. */
    private fun canGoOn(): Boolean = !forwarder.started && route.retryable && mayHaveRun < route.maxAttempts &&
        retryBudget().available(context.now(), context.nodeCount())

    private fun retryBudget() = context.rules.retryBudget(route.targets.first().service)

    private fun passOn() {
        if (finished) return
        val next = selectHelper()
        if (next == null) return refuse("no_helper")
        tried.add(next.vm)
        val opened = HttpConnection(context.now)
        help.connector.open(next.vm.value, help.callerPort, opened) { failure ->
            when {
                finished -> if (failure == null) opened.abandon()
                failure == null -> send(next, opened)
                else -> {
                    log("helper_unreachable", "helper=${next.vm} reason=\"$failure\"")
                    help.helpers.remove(next.vm)
                    passOn()
                }
            }
        }
    }

    private fun send(to: Helper, opened: HttpConnection) {
        val budgetMillis = deadlineAt - context.now() - RESPONSE_MARGIN_MILLIS
        if (budgetMillis <= 0) {
            opened.abandon()
            return refuse("no_time")
        }
        helper = to
        connection = opened
        mayHaveRun++
        log("passed_on", "helper=${to.vm} zone=${to.zone} budget_ms=$budgetMillis")
        val headers = context.dialect.passedOnRequestHeaders(request.headers, budgetMillis, request.owner.identity)
        PassedOnHeaders.setToken(headers, to.token)
        request.owner.workspaceId?.let { PassedOnHeaders.setCheckedWorkspace(headers, to.token, it) }
        opened.send(request.method, request.uri, headers, request.body.retainedDuplicate(), Answer(to, opened))
        opened.setAutoRead(response.isWritable)
    }

    private inner class Answer(private val from: Helper, private val opened: HttpConnection) : ResponseListener {
        private var declined = false

        /** Whether the helper states that the request was not executed, which holds for the helper alone. */
        private var refusedAfterRun = false

        override fun onHead(response: HttpResponse): Boolean {
            val head = context.dialect.parseServerResponse(response.status().code(), response.headers())
            if (head.requestId != metadata.id) return false
            forwarder.receivedStatusCode = head.status
            declined = PassedOnHeaders.isDeclined(response.headers(), from.token)
            refusedAfterRun = !declined && head.statesNotExecuted && mayHaveRun > 1
            if (!declined && head.statesNotExecuted && mayHaveRun <= 1) request.permit.refund(context.now())
            if (!declined && !refusedAfterRun) forwarder.onHead(response, opened)
            return true
        }

        override fun onBody(bytes: ByteBuf) {
            if (declined || refusedAfterRun) return
            forwarder.onBody(bytes)
            if (forwarder.unsound) opened.fail("event without end")
        }

        override fun onComplete() {
            connection = null
            opened.abandon()
            when {
                declined -> onDeclined(from)
                refusedAfterRun -> endAsLost(REFUSED_AFTER_RUN)
                forwarder.endsInsideEvent -> onBroken("stream not complete")
                else -> {
                    forwarder.complete()
                    finish("passed_on status=${forwarder.statusCode}")
                }
            }
        }

        override fun onFailure(reason: String) {
            connection = null
            when {
                declined -> onDeclined(from)
                refusedAfterRun -> endAsLost(REFUSED_AFTER_RUN)
                else -> onBroken(reason)
            }
        }
    }

    private fun onDeclined(from: Helper) {
        mayHaveRun--
        log("helper_declined", "helper=${from.vm}")
        help.helpers.remove(from.vm)
        passOn()
    }

    /** Handles that the connection to the helper ended before the answer was complete. */
    private fun onBroken(reason: String) {
        if (finished) return
        forwarder.discardUnsent()
        log("helper_lost", "helper=${helper?.vm} reason=\"$reason\" started=${forwarder.started}")
        val again = canGoOn() && retryBudget().tryAcquire(context.now(), context.nodeCount())
        if (again) passOn() else endAsLost(reason)
    }

    private fun refuse(reason: String) {
        if (mayHaveRun > 0) return endAsLost(reason)
        context.metrics.recordRefusal(reason)
        val after = gatewayResponse.sendNotExecuted(RETRY_AFTER_MILLIS)
        finish("refused reason=$reason retry_after_ms=$after")
    }

    private fun endAsLost(reason: String) {
        gatewayResponse.sendLost()
        finish("lost reason=\"$reason\"")
    }

    /** Ends the request at its deadline, or at the end of the node. */
    fun endUnfinished() {
        if (finished) return
        if (mayHaveRun > 0) gatewayResponse.sendTimeout() else gatewayResponse.sendNotExecuted(0)
        finish("time_up sent=${mayHaveRun > 0}")
    }

    private fun finish(outcome: String) {
        if (finished) return
        finished = true
        deadlineTimer.cancel(false)
        connection?.abandon()
        connection = null
        forwarder.release()
        request.body.release()
        help.open.remove(this)
        context.metrics.recordRequest(route.kind.name, outcome.substringBefore(' '))
        val answer = "${forwarder.statuses("helper")} caller=${request.place}"
        log(
            "ended",
            "outcome=$outcome helpers=${tried.size} ms=${context.now() - request.arrivedAt} $answer${request.owner}",
        )
    }

    private fun log(event: String, detail: String) =
        context.log.write { "event=$event request=${metadata.id} route=${route.name} $detail" }

    companion object {
        /** Beyond these the others are unlikely to do better. */
        const val MAX_HELPERS = 3

        /** Time for the answer of a helper at the deadline to arrive before this node ends the request. */
        private const val RESPONSE_MARGIN_MILLIS = 30L

        /** Several reports of a node. */
        private const val HELPER_SILENCE_MILLIS = 1_000L

        private const val REFUSED_AFTER_RUN = "refused by the helper, but may have been executed before"

        /** About the time until a node that can help is heard of. */
        private const val RETRY_AFTER_MILLIS = 500L
    }
}
