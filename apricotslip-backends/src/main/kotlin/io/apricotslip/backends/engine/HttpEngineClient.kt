package io.apricotslip.backends.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.outcome.Step
import io.apricotslip.backends.http.Attempt
import io.apricotslip.backends.http.HttpBackend
import io.apricotslip.backends.http.HttpCall
import io.apricotslip.backends.http.IdleTimeout
import io.apricotslip.backends.http.LineSplitter
import io.apricotslip.backends.http.collectBounded
import io.netty.handler.codec.http.HttpMethod
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.core.publisher.SynchronousSink
import reactor.core.scheduler.Schedulers
import reactor.netty.ByteBufFlux
import reactor.netty.http.client.HttpClientResponse

/**
 * Client of one engine over HTTP/1.1.
 *
 * Nothing is sent twice. Each request or order opens its own connection, so that it never uses a pooled one that the
 * engine is closing or that is half-open; only reports reuse connections. When the subscriber of a stream cancels, only
 * the connection is closed, because another VM may have resumed the stream. A request that is answered by another
 * adapter is cancelled at the engine.
 */
public class HttpEngineClient(
    override val engine: EngineEntry,
    private val options: EngineClientOptions = EngineClientOptions(),
) : EngineClient,
    AutoCloseable {
    private val backend = HttpBackend(
        name = "engine-${engine.id}",
        maxConnections = options.maxConnections,
        maxWaiting = options.maxWaiting,
        acquireMillis = options.acquireMillis,
        connectMillis = options.connectMillis,
    )
    private val baseUrl = HttpBackend.baseUrl(engine.address, engine.port)
    private val failures = EngineFailures(engine.id)
    private val orders = EngineOrders(backend, baseUrl, options)

    override fun generate(request: EngineRequest): Flux<EngineEvent> {
        val body = CompletionBody(
            requestId = request.request.value,
            model = request.adapter.toString(),
            prompt = request.prompt,
            maxTokens = request.maxTokens,
            priority = request.priority,
            stream = true,
        )
        val call = HttpCall(
            method = HttpMethod.POST,
            url = "$baseUrl/v1/completions",
            body = EngineJson.format.encodeToString(CompletionBody.serializer(), body).encodeToByteArray(),
            contentType = HttpCall.JSON,
            headers = listOfNotNull(request.traceparent?.let { "traceparent" to it }),
        )
        return stream(Step.START, call, request.request) {
            TokenStreamParser(request.request, request.adapter, firstOffset = 0)
        }
    }

    override fun resume(request: RequestId, from: Int): Flux<EngineEvent> {
        val call = HttpCall(HttpMethod.GET, "${completionUrl(request)}?from=$from")
        return stream(Step.STREAM, call, request) { TokenStreamParser(request, adapter = null, firstOffset = from) }
    }

    override fun cancel(request: RequestId): Mono<Void> = orders.cancel(completionUrl(request))
        .onErrorResume {
            Logger.warn {
                "event=cancel_failed step=stream peer=${engine.id} request=$request reason=\"${it.message}\""
            }
            Mono.empty()
        }

    override fun load(adapter: AdapterVersion, fence: FenceNumber): Mono<OrderResult> =
        orders.order("load", adapter, fence, options.loadMillis)

    override fun evict(adapter: AdapterVersion, fence: FenceNumber): Mono<OrderResult> =
        orders.order("evict", adapter, fence, options.orderMillis)

    override fun report(): Mono<EngineReport> = Mono.defer {
        val attempt = Attempt()
        orders.report(attempt).onErrorMap { failures.connectionFailure(Step.ROUTE, attempt, it) }
    }

    /** Closes all connections; open streams fail. */
    override fun close() {
        backend.close()
    }

    private fun completionUrl(request: RequestId) = "$baseUrl/v1/completions/${HttpCall.encode(request.value)}"

    private fun stream(
        step: Step,
        call: HttpCall,
        request: RequestId,
        newParser: () -> TokenStreamParser,
    ): Flux<EngineEvent> = Flux.defer {
        val attempt = Attempt()
        val parser = newParser()
        val idleTimeout = IdleTimeout(options.firstEventMillis, options.idleMillis, Schedulers.parallel())
        val lines = backend.stream(call, attempt) { response, content ->
            if (response.status().code() == HttpBackend.STATUS_OK) lines(content) else refusal(step, response, content)
        }
        idleTimeout.applyTo(lines)
            .handle<EngineEvent> { line, sink -> emit(parser.parseLine(line), sink) }
            .concatWith(Mono.error { failures.streamFailure(closedEarly) })
            .takeUntil { it is EngineEvent.End }
            .onErrorMap { failures.connectionFailure(step, attempt, it) }
            .doOnError(EngineException::class.java) {
                if (it.refusal.code == RefusalCode.WRONG_ADAPTER) cancel(request).subscribe()
            }
            .doOnCancel { attempt.abandon() }
    }

    private fun emit(result: LineResult, sink: SynchronousSink<EngineEvent>) {
        when (result) {
            is LineResult.Emit -> sink.next(result.event)
            is LineResult.Skip -> Unit
            is LineResult.Fail -> sink.error(failures.streamFailure(result))
        }
    }

    private fun lines(content: ByteBufFlux): Flux<String> {
        val splitter = LineSplitter(options.maxEventBytes)
        return content.asByteArray().concatMapIterable(splitter::split)
    }

    private fun refusal(step: Step, response: HttpClientResponse, content: ByteBufFlux): Flux<String> =
        content.collectBounded(options.maxResponseBytes)
            .defaultIfEmpty(ByteArray(0))
            .flatMapMany { Flux.error(failures.responseFailure(step, response.status().code(), it)) }

    private companion object {
        val closedEarly = LineResult.Fail(RefusalCode.BACKEND_SERVER_FAILED, "cut", "connection closed before the end")
    }
}
