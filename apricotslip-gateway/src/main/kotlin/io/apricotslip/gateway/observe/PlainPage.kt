package io.apricotslip.gateway.observe

import io.apricotslip.gateway.caller.CallerAnswer
import io.apricotslip.gateway.caller.CallerWatcher
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus

/** Answers of the system's own pages. */
internal object PlainPage : CallerWatcher {
    /** Answers with a status and no body. */
    fun status(answer: CallerAnswer, status: Int): CallerWatcher {
        answer.whole(HttpResponseStatus.valueOf(status), CallerAnswer.headers(), Unpooled.EMPTY_BUFFER)
        return this
    }

    /** Answers with [text]. */
    fun text(answer: CallerAnswer, text: ByteArray): CallerWatcher {
        val headers = CallerAnswer.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4")
        answer.whole(HttpResponseStatus.OK, headers, Unpooled.wrappedBuffer(text))
        return this
    }

    override fun callerLeft() = Unit

    override fun callerReads(writable: Boolean) = Unit
}
