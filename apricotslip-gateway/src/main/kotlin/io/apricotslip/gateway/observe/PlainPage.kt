package io.apricotslip.gateway.observe

import io.apricotslip.gateway.caller.CallerListener
import io.apricotslip.gateway.caller.CallerResponse
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus

/** Answers of the system's own pages. */
internal object PlainPage : CallerListener {
    /** Answers with a status and no body. */
    fun status(answer: CallerResponse, status: Int): CallerListener {
        answer.sendFull(HttpResponseStatus.valueOf(status), CallerResponse.newHeaders(), Unpooled.EMPTY_BUFFER)
        return this
    }

    /** Answers with [text]. */
    fun text(answer: CallerResponse, text: ByteArray): CallerListener {
        val headers = CallerResponse.newHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4")
        answer.sendFull(HttpResponseStatus.OK, headers, Unpooled.wrappedBuffer(text))
        return this
    }

    override fun onCallerDisconnected() = Unit

    override fun onWritabilityChanged(writable: Boolean) = Unit
}
