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
import reactor.netty.NettyPipeline
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import reactor.netty.http.server.HttpServerRoutes
import java.time.Duration
import java.util.UUID
import java.util.concurrent.atomic.AtomicInteger

/** HTTP server of the callers' port: completions and calls of plain services. */
internal class CallerServer(
    private val vm: String,
    private val settings: CallerSettings,
    private val calls: EntryCalls,
    private val services: ServiceCalls,
) {
    private val requests = CallerRequests(settings)
    private val activeRequests = AtomicInteger()

    /** Binds the port and starts to accept connections; blocks until it is bound. */
    fun start(): DisposableServer = HttpServer
        .create()
        .host(settings.address)
        .port(settings.port)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .idleTimeout(Duration.ofMillis(settings.idleMillis))
        .httpRequestDecoder { it.maxHeaderSize(settings.maxHeaderBytes) }
        .doOnChannelInit { _, channel, _ ->
            channel.pipeline().addAfter(NettyPipeline.HttpCodec, LingeringClose::class.simpleName, LingeringClose())
        }
        .route(::addRoutes)
        .bindNow(BIND_TIMEOUT)

    private fun addRoutes(routes: HttpServerRoutes) {
        routes
            .post("/v1/completions") { req, res -> withLimits(req, res) { completion(AnswerFormat.Text, req, res) } }
            .post("/v1/chat/completions") { req, res ->
                withLimits(req, res) { completion(AnswerFormat.Chat, req, res) }
            }
            .route({ it.uri().startsWith(SERVICES_PREFIX) }) { req, res -> withLimits(req, res) { service(req, res) } }
            .route({ true }) { req, res -> refuse(res, requestId(req), RefusalCode.BAD_REQUEST, "no such path") }
    }

    private fun withLimits(
        request: HttpServerRequest,
        response: HttpServerResponse,
        handler: () -> Publisher<Void>,
    ): Publisher<Void> {
        val length = request.requestHeaders()[HttpHeaderNames.CONTENT_LENGTH]?.toLongOrNull() ?: 0
        if (length > settings.maxBodyBytes) {
            return refuse(response, requestId(request), RefusalCode.TOO_LARGE, "body too large")
        }
        if (activeRequests.incrementAndGet() > settings.maxConcurrent) {
            activeRequests.decrementAndGet()
            return refuse(response, requestId(request), RefusalCode.OVERLOADED, "too many requests at once")
        }
        return Mono.from(handler()).doFinally { activeRequests.decrementAndGet() }
    }

    private fun completion(
        format: AnswerFormat,
        request: HttpServerRequest,
        response: HttpServerResponse,
    ): Publisher<Void> {
        val id = requestId(request)
        return readBody(request).flatMap { bytes ->
            if (bytes.size > settings.maxBodyBytes) {
                return@flatMap Mono.from(refuse(response, id, RefusalCode.TOO_LARGE, "body too large"))
            }
            requests
                .parseCompletion(format, request.requestHeaders(), id, bytes.decodeToString())
                .fold(
                    { sendCompletion(it, response) },
                    { Mono.from(refuse(response, id, RefusalCode.BAD_REQUEST, it)) },
                )
        }
    }

    private fun sendCompletion(call: ParsedCall, response: HttpServerResponse): Mono<Void> {
        val nowSeconds = System.currentTimeMillis() / MILLIS_PER_SECOND
        val writer = AnswerWriter(call.format, call.spec.request.value, nowSeconds)
        val answer = CallerAnswer(response, call.spec.request, writer)
        val events = calls.open(call.spec)
        return if (call.stream) answer.stream(events) else answer.sendComplete(events)
    }

    private fun service(request: HttpServerRequest, response: HttpServerResponse): Publisher<Void> {
        val id = requestId(request)
        val target = request.uri().removePrefix(SERVICES_PREFIX)
        val service = target.substringBefore('/').substringBefore('?')
        val path = target.removePrefix(service).ifEmpty { "/" }
        return readBody(request).flatMap { bytes ->
            if (bytes.size > settings.maxBodyBytes) {
                return@flatMap Mono.from(refuse(response, id, RefusalCode.TOO_LARGE, "body too large"))
            }
            requests
                .parseService(request.method().name(), service, path, request.requestHeaders(), id, bytes)
                .fold(
                    { callService(it, response) },
                    { Mono.from(refuse(response, id, RefusalCode.BAD_REQUEST, it)) },
                )
        }
    }

    private fun callService(call: ServiceRequest, response: HttpServerResponse): Mono<Void> =
        services.open(call).flatMap { reply ->
            when (reply) {
                is ServiceReply.Refused -> sendRefusal(response, call.request, reply.refusal)
                is ServiceReply.Answered -> sendServiceAnswer(reply, call, response)
            }
        }

    private fun sendServiceAnswer(
        reply: ServiceReply.Answered,
        call: ServiceRequest,
        response: HttpServerResponse,
    ): Mono<Void> {
        response.status(reply.status).header(CallerHeaders.REQUEST, call.request.value)
        response.header(CallerHeaders.SERVER, reply.server.value)
        reply.contentType?.let { response.header(HttpHeaderNames.CONTENT_TYPE, it) }
        return response.sendByteArray(Mono.just(reply.body)).then()
    }

    private fun readBody(request: HttpServerRequest): Mono<ByteArray> =
        BoundedBody.read(request.receive(), settings.maxBodyBytes).defaultIfEmpty(ByteArray(0))

    private fun requestId(request: HttpServerRequest): RequestId {
        val callerId = request.requestHeaders()[CallerHeaders.REQUEST]
        return RequestId(callerId?.takeIf(CallerRequests::isValidRequestId) ?: UUID.randomUUID().toString())
    }

    private fun refuse(
        response: HttpServerResponse,
        request: RequestId,
        code: RefusalCode,
        detail: String,
    ): Publisher<Void> = sendRefusal(response, request, Refusal(code, Step.PARSE, vm, Certainty.NOT_RUN, detail))

    private fun sendRefusal(response: HttpServerResponse, request: RequestId, refusal: Refusal): Mono<Void> {
        Logger.debug("event=refused request={} code={} step={}", request, refusal.code.label, refusal.step.label)
        return CallerAnswer.refuse(response, request, refusal)
    }

    private companion object {
        const val SERVICES_PREFIX = "/services/"
        const val BACKLOG = 1_024
        const val MILLIS_PER_SECOND = 1_000L
        val BIND_TIMEOUT: Duration = Duration.ofSeconds(10)
    }
}
