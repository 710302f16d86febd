package io.apricotslip.core.http

import io.apricotslip.api.id.RequestId
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.core.entry.Binding
import io.apricotslip.core.entry.CallEvent
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.handler.codec.http.HttpHeaderNames
import org.reactivestreams.Publisher
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.netty.http.server.HttpServerResponse

/** Sends the answer of one request to its caller. */
internal class CallerAnswer(
    private val response: HttpServerResponse,
    private val request: RequestId,
    private val writer: AnswerWriter,
) {
    /** Streams [events] as SSE. A refusal before the first token is sent as a plain response with its own status. */
    fun stream(events: Flux<CallEvent>): Mono<Void> = withBinding(events) { binding, rest ->
        rest
            .switchOnFirst { first, all ->
                val event = first.get()
                if (event is CallEvent.Refused) refuse(response, request, event.refusal) else sendSse(binding, all)
            }.then()
    }

    /** Collects [events] and sends the complete answer as one JSON body. */
    fun sendComplete(events: Flux<CallEvent>): Mono<Void> = withBinding(events) { binding, rest ->
        rest.collectList().flatMap { all ->
            when (val last = all.lastOrNull()) {
                is CallEvent.End -> sendBody(binding, all, last)
                is CallEvent.Refused -> refuse(response, request, last.refusal)
                else -> Mono.empty()
            }
        }
    }

    private fun withBinding(events: Flux<CallEvent>, write: (Binding, Flux<CallEvent>) -> Mono<Void>): Mono<Void> =
        events
            .switchOnFirst { first, all ->
                when (val event = first.get()) {
                    is CallEvent.Admitted -> write(event.binding, all.skip(1))
                    is CallEvent.Refused -> all.then(refuse(response, request, event.refusal))
                    else -> all.then()
                }
            }.then()

    private fun sendSse(binding: Binding, events: Flux<CallEvent>): Publisher<Void> {
        addHeaders(binding)
        val frames = events.concatMapIterable { toFrames(it, binding) }.map(::toByteBuf)
        return response.sse().send(frames) { true }
    }

    private fun toFrames(event: CallEvent, binding: Binding): List<String> {
        val data = "data: ${writer.eventData(event, binding)}\n\n"
        return if (event is CallEvent.End) listOf(data, DONE_FRAME) else listOf(data)
    }

    private fun sendBody(binding: Binding, events: List<CallEvent>, end: CallEvent.End): Mono<Void> {
        addHeaders(binding)
        response.header(CallerHeaders.SERVER, end.server.value)
        response.header(HttpHeaderNames.CONTENT_TYPE, JSON_CONTENT_TYPE)
        val text = events.filterIsInstance<CallEvent.Token>().joinToString("") { it.text }
        return response.sendString(Mono.just(writer.completeBody(text, end, binding))).then()
    }

    private fun addHeaders(binding: Binding) {
        response
            .header(CallerHeaders.REQUEST, request.value)
            .header(CallerHeaders.ADAPTER, binding.adapter.adapter.value)
            .header(CallerHeaders.VERSION, binding.adapter.version.value)
            .header(CallerHeaders.REVISION, binding.revision.value.toString())
    }

    private fun toByteBuf(text: String): ByteBuf = ByteBufUtil.writeUtf8(UnpooledByteBufAllocator.DEFAULT, text)

    companion object {
        private const val JSON_CONTENT_TYPE = "application/json"
        private const val DONE_FRAME = "data: [DONE]\n\n"

        /** Sends [refusal] as JSON with the HTTP status of its code. */
        fun refuse(response: HttpServerResponse, request: RequestId, refusal: Refusal): Mono<Void> = response
            .status(refusal.code.httpStatus)
            .header(CallerHeaders.REQUEST, request.value)
            .header(HttpHeaderNames.CONTENT_TYPE, JSON_CONTENT_TYPE)
            .sendString(Mono.just(AnswerWriter.refusal(refusal, request.value)))
            .then()
    }
}
