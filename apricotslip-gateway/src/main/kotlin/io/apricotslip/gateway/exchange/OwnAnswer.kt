package io.apricotslip.gateway.exchange

import io.apricotslip.gateway.caller.CallerResponse
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponseStatus
import kotlin.random.Random

/** Ends a request that no backend server answered. */
internal class OwnAnswer(
    private val context: ExchangeContext,
    private val answer: CallerResponse,
    private val delivery: Delivery,
    private val requestId: String?,
) {
    /** The request has not run and will not; returns when the caller is told to come back, in milliseconds. */
    fun notRun(retryAfterMillis: Long): Long {
        val after = (retryAfterMillis * (1 + Random.nextDouble() * RETURN_SPREAD)).toLong()
        send(HttpResponseStatus.SERVICE_UNAVAILABLE, after.takeIf { it > 0 })
        return after
    }

    /** The request may have run, and its answer is lost. */
    fun lost() = cutOffOr(HttpResponseStatus.BAD_GATEWAY)

    /** The request may have run, and there is no time left for its answer. */
    fun late() = cutOffOr(HttpResponseStatus.GATEWAY_TIMEOUT)

    private fun cutOffOr(status: HttpResponseStatus) {
        if (delivery.begun) answer.abort() else send(status, null)
    }

    private fun send(status: HttpResponseStatus, retryAfterMillis: Long?) {
        answer.sendFull(
            status,
            context.dialect.gatewayResponseHeaders(requestId, retryAfterMillis),
            Unpooled.EMPTY_BUFFER,
        )
    }

    private companion object {
        /** Callers that are refused together return spread over this part of their wait, and not all at once. */
        const val RETURN_SPREAD = 0.4
    }
}
