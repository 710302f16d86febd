package io.apricotslip.gateway.exchange

import io.apricotslip.gateway.caller.CallerResponse
import io.apricotslip.gateway.help.PassedOnHeaders
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponseStatus

/** A response of the gateway itself, without a body. */
internal object EmptyResponse {
    /**
     * Sends it with [status] for the request [requestId].
     *
     * @param retryAfterMillis after which the caller may retry; null when it is told nothing.
     * @param declineToken token of the node that passed the request on, when another node may do better.
     */
    fun send(
        context: ExchangeContext,
        response: CallerResponse,
        requestId: String?,
        status: HttpResponseStatus,
        retryAfterMillis: Long?,
        declineToken: String?,
    ) {
        val headers = context.dialect.gatewayResponseHeaders(requestId, retryAfterMillis)
        declineToken?.let { PassedOnHeaders.setDeclined(headers, it) }
        response.sendFull(status, headers, Unpooled.EMPTY_BUFFER)
    }

    /** Tells the caller of the request [requestId] that it needs a valid key. */
    fun sendUnauthorized(context: ExchangeContext, response: CallerResponse, requestId: String?) {
        val headers = context.dialect.unauthorizedResponseHeaders(requestId)
        response.sendFull(HttpResponseStatus.UNAUTHORIZED, headers, Unpooled.EMPTY_BUFFER)
    }
}
