package io.apricotslip.gateway.help

import io.apricotslip.gateway.caller.CallerListener
import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.gateway.caller.CallerResponse
import io.apricotslip.gateway.exchange.ExchangeContext
import io.apricotslip.gateway.exchange.RequestMetadata
import io.apricotslip.serving.state.Route

/** Hands a request that this node cannot serve to another node, unless it may have been executed too often already. */
internal class HandOver(
    private val context: ExchangeContext,
    private val request: CallerRequest,
    private val response: CallerResponse,
    private val metadata: RequestMetadata,
    private val route: Route,
    private val deadlineAt: Long,
) {
    /** Gets the events of the caller's connection after the request was handed over. */
    var successor: CallerListener? = null
        private set

    /**
     * Hands the request over if this node reaches no server, or if it opens no new connections and the request is
     * [unreachable] for it; returns whether it did.
     *
     * @param executions times that a server executed the request, or may have.
     * @param answerBegun whether the caller has got a part of the answer.
     * @param unreachable whether the request found no server here, although others may.
     */
    fun tryStart(executions: Int, answerBegun: Boolean, unreachable: Boolean): Boolean {
        if (!isPossible(executions, answerBegun, unreachable)) return false
        // Servers that refuse connections may be down, and other nodes could do no better.
        val maxHelpers = if (context.help.isWanted) PassedOnRequest.MAX_HELPERS else 1
        successor =
            PassedOnRequest(context, request, response, metadata, route, deadlineAt, executions, maxHelpers).start()
        return true
    }

    /** Whether [tryStart] would hand the request over. */
    fun isPossible(executions: Int, answerBegun: Boolean, unreachable: Boolean = false): Boolean {
        val refused = unreachable && context.help.reach.refusesNewConnections &&
            context.help.helpers.isAvailable(context.now())
        if (!context.help.isWanted && !refused) return false
        val repeatable = executions == 0 || (route.retryable && executions < route.maxAttempts)
        return request.passedOnToken == null && !answerBegun && repeatable
    }
}
