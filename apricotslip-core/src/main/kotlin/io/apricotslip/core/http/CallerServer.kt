package io.apricotslip.core.http

import com.github.michaelbull.result.fold
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.outcome.Step
import io.apricotslip.core.entry.EntryCalls
import io.apricotslip.core.service.ServiceCalls
import io.apricotslip.core.service.ServiceReply
import io.apricotslip.core.service.ServiceRequest
import io.apricotslip.settings.CallerSettings
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.HttpHeaderNames
import org.reactivestreams.Publisher
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Mono
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import reactor.netty.http.server.HttpServerRoutes
import java.time.Duration
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger

/** The callers' port. */
internal class CallerServer(
    private val vm: String,
    private val settings: CallerSettings,
    private val calls: EntryCalls,
    private val services: ServiceCalls,
) {
    private val requests = CallerRequests(settings)
    private val concurrent = AtomicInteger()

    /** Starts to listen. */
    fun start(): DisposableServer = HttpServer
        .create()
        .host(settings.address)
        .port(settings.port)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .idleTimeout(Duration.ofMillis(settings.idleMillis))
        .httpRequestDecoder { it.maxHeaderSize(settings.maxHeaderBytes) }
        .route(::routes)
        .bindNow(BIND_TIMEOUT)

    private fun routes(routes: HttpServerRoutes) {
        routes
            .post("/v1/completions") { i, o -> limited(i, o) { completion(AnswerFormat.Text, i, o) } }
            .post("/v1/chat/completions") { i, o -> limited(i, o) { completion(AnswerFormat.Chat, i, o) } }
            .route({ it.uri().startsWith(SERVICES) }) { i, o -> limited(i, o) { service(i, o) } }
            .route({ true }) { i, o -> refuse(o, requestId(i), RefusalCode.BAD_REQUEST, "no such path") }
    }

    private fun limited(
        request: HttpServerRequest,
        response: HttpServerResponse,
        handler: () -> Publisher<Void>,
    ): Publisher<Void> {
        val length = request.requestHeaders()[HttpHeaderNames.CONTENT_LENGTH]?.toLongOrNull() ?: 0
        if (length >
            settings.maxBodyBytes
        ) {
            return refuse(response, requestId(request), RefusalCode.TOO_LARGE, "body too large")
        }
        if (concurrent.incrementAndGet() > settings.maxConcurrent) {
            concurrent.decrementAndGet()
            return refuse(response, requestId(request), RefusalCode.OVERLOADED, "too many requests at once")
        }
        return Mono.from(handler()).doFinally { concurrent.decrementAndGet() }
    }

    private fun completion(
        format: AnswerFormat,
        request: HttpServerRequest,
        response: HttpServerResponse,
    ): Publisher<Void> {
        val id = requestId(request)
        return body(request).flatMap { bytes ->
            if (bytes.size > settings.maxBodyBytes) {
                return@flatMap Mono.from(refuse(response, id, RefusalCode.TOO_LARGE, "body too large"))
            }
            requests
                .completion(format, request.requestHeaders(), id, bytes.decodeToString())
                .fold({ answer(it, response) }, { Mono.from(refuse(response, id, RefusalCode.BAD_REQUEST, it)) })
        }
    }

    private fun answer(call: ParsedCall, response: HttpServerResponse): Mono<Void> {
        val now = System.currentTimeMillis() / MILLIS_PER_SECOND
        val writer = AnswerWriter(call.format, call.spec.request.value, now)
        val answer = CallerAnswer(response, call.spec.request, writer)
        val events = calls.open(call.spec)
        return if (call.stream) answer.stream(events) else answer.whole(events)
    }

    private fun service(request: HttpServerRequest, response: HttpServerResponse): Publisher<Void> {
        val id = requestId(request)
        val target = request.uri().removePrefix(SERVICES)
        val service = target.substringBefore('/').substringBefore('?')
        val path = target.removePrefix(service).ifEmpty { "/" }
        return body(request).flatMap { bytes ->
            if (bytes.size > settings.maxBodyBytes) {
                return@flatMap Mono.from(refuse(response, id, RefusalCode.TOO_LARGE, "body too large"))
            }
            requests
                .service(request.method().name(), service, path, request.requestHeaders(), id, bytes)
                .fold({ reply(it, response) }, { Mono.from(refuse(response, id, RefusalCode.BAD_REQUEST, it)) })
        }
    }

    private fun reply(call: ServiceRequest, response: HttpServerResponse): Mono<Void> =
        services.open(call).flatMap { reply ->
            when (reply) {
                is ServiceReply.Refused -> send(response, call.request, reply.refusal)
                is ServiceReply.Answered -> answered(reply, call, response)
            }
        }

    private fun answered(
        reply: ServiceReply.Answered,
        call: ServiceRequest,
        response: HttpServerResponse,
    ): Mono<Void> {
        response.status(reply.status).header(CallerHeaders.REQUEST, call.request.value)
        response.header(CallerHeaders.SERVER, reply.server.value)
        reply.contentType?.let { response.header(HttpHeaderNames.CONTENT_TYPE, it) }
        return response.sendByteArray(Mono.just(reply.body)).then()
    }

    private fun body(request: HttpServerRequest): Mono<ByteArray> =
        BoundedBody.read(request.receive(), settings.maxBodyBytes).defaultIfEmpty(ByteArray(0))

    private fun requestId(request: HttpServerRequest): RequestId {
        val named = request.requestHeaders()[CallerHeaders.REQUEST]
        return RequestId(named?.takeIf(CallerRequests::isRequestName) ?: UUID.randomUUID().toString())
    }

    private fun refuse(
        response: HttpServerResponse,
        request: RequestId,
        code: RefusalCode,
        detail: String,
    ): Publisher<Void> = send(response, request, Refusal(code, Step.PARSE, vm, Certainty.NOT_RUN, detail))

    private fun send(response: HttpServerResponse, request: RequestId, refusal: Refusal): Mono<Void> {
        Logger.debug("event=refused request={} code={} step={}", request, refusal.code.label, refusal.step.label)
        return CallerAnswer.refuse(response, request, refusal)
    }

    private companion object {
        const val SERVICES = "/services/"
        const val BACKLOG = 1_024
        const val MILLIS_PER_SECOND = 1_000L
        val BIND_TIMEOUT: Duration = Duration.ofSeconds(10)
    }
}
