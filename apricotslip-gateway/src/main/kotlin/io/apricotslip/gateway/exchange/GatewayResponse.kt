package io.apricotslip.gateway.exchange

import io.apricotslip.gateway.caller.CallerResponse
import io.apricotslip.serving.allowance.Permit
import io.netty.handler.codec.http.HttpResponseStatus
import kotlin.random.Random

/** The gateway's own response to a request for which it has no complete response of a backend server. */
internal class GatewayResponse(
    private val context: ExchangeContext,
    private val response: CallerResponse,
    private val forwarder: ResponseForwarder,
    private val requestId: String?,
    private val permit: Permit,
    private val passedOnToken: String? = null,
) {
    /**
     * Responds that the request has not been executed and will not be.
     *
     * @param declines whether another node may do better, for a request that one has passed on.
     * @return the delay after which the caller is told to retry, in milliseconds.
     */
    fun sendNotExecuted(retryAfterMillis: Long, declines: Boolean = false): Long {
        permit.refund(context.now())
        val after = (retryAfterMillis * (1 + Random.nextDouble() * RETRY_JITTER_RATIO)).toLong()
        send(HttpResponseStatus.SERVICE_UNAVAILABLE, after.takeIf { it > 0 }, passedOnToken.takeIf { declines })
        return after
    }

    /** Responds that the request may have been executed and that its response is lost. */
    fun sendLost() = abortOrSend(HttpResponseStatus.BAD_GATEWAY)

    /** Responds that the request may have been executed and that its deadline has passed. */
    fun sendTimeout() = abortOrSend(HttpResponseStatus.GATEWAY_TIMEOUT)

    private fun abortOrSend(status: HttpResponseStatus) {
        if (forwarder.started) response.abort() else send(status, null)
    }

    private fun send(status: HttpResponseStatus, retryAfterMillis: Long?, declineToken: String? = null) =
        EmptyResponse.send(context, response, requestId, status, retryAfterMillis, declineToken)

    companion object {
        /** Delay before a retry when no better estimate is known, in milliseconds: a few adapter loads. */
        const val RETRY_AFTER_MILLIS = 400L

        /** Jitter as a ratio of the retry delay, so that callers that are refused together do not return together. */
        private const val RETRY_JITTER_RATIO = 0.4
    }
}
