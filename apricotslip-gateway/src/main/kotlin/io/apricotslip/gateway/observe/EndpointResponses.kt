package io.apricotslip.gateway.observe

import io.apricotslip.gateway.caller.CallerListener
import io.apricotslip.gateway.caller.CallerResponse
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * Sends the responses of the gateway's own endpoints, such as readiness and metrics. They end at once, so that the
 * events of the caller's connection need no handling.
 */
internal object EndpointResponses : CallerListener {
    /** Tells by the status whether the node is [ready] for requests. */
    fun sendReadiness(response: CallerResponse, ready: Boolean): CallerListener {
        val status = if (ready) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE
        response.sendFull(status, CallerResponse.newHeaders(), Unpooled.EMPTY_BUFFER)
        return this
    }

    /** Sends [text] in the Prometheus text format. */
    fun sendText(response: CallerResponse, text: ByteArray): CallerListener {
        val headers = CallerResponse.newHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4")
        response.sendFull(HttpResponseStatus.OK, headers, Unpooled.wrappedBuffer(text))
        return this
    }

    override fun onCallerDisconnected() = Unit

    override fun onWritabilityChanged(writable: Boolean) = Unit
}
