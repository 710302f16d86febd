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
import io.apricotslip.backends.http.IdleGuard
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
 * Nothing is sent twice. A request or order has a connection of its own, so that it never meets one that the engine
 * is closing or that went silent; only reports share connections. A stream whose subscriber cancels is only let
 * go of, for another VM may have taken it up; one whose answer is of another adapter is cancelled at the engine.
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
    private val base = HttpBackend.baseUrl(engine.address, engine.port)
    private val failures = EngineFailures(engine.id)
    private val orders = EngineOrders(backend, base, options)

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
            url = "$base/v1/completions",
            body = EngineJson.format.encodeToString(CompletionBody.serializer(), body).encodeToByteArray(),
            contentType = HttpCall.JSON,
            headers = listOfNotNull(request.traceparent?.let { "traceparent" to it }),
        )
        return stream(Step.START, call, request.request) { TokenStream(request.request, request.adapter, from = 0) }
    }

    override fun resume(request: RequestId, from: Int): Flux<EngineEvent> {
        val call = HttpCall(HttpMethod.GET, "${completion(request)}?from=$from")
        return stream(Step.STREAM, call, request) { TokenStream(request, adapter = null, from = from) }
    }

    override fun cancel(request: RequestId): Mono<Void> = orders.cancel(completion(request))
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
        orders.report(attempt).onErrorMap { failures.connection(Step.ROUTE, attempt, it) }
    }

    /** Closes all connections; streams under way fail. */
    override fun close() {
        backend.close()
    }

    private fun completion(request: RequestId) = "$base/v1/completions/${HttpCall.encode(request.value)}"

    private fun stream(step: Step, call: HttpCall, request: RequestId, checker: () -> TokenStream): Flux<EngineEvent> =
        Flux.defer {
            val attempt = Attempt()
            val tokens = checker()
            val guard = IdleGuard(options.firstEventMillis, options.silentMillis, Schedulers.parallel())
            val lines = backend.stream(call, attempt) { response, content ->
                if (response.status().code() == HttpBackend.OK) lines(content) else refusal(step, response, content)
            }
            guard.guard(lines)
                .handle<EngineEvent> { line, sink -> judge(tokens.accept(line), sink) }
                .concatWith(Mono.error { failures.stream(closed) })
                .takeUntil { it is EngineEvent.End }
                .onErrorMap { failures.connection(step, attempt, it) }
                .doOnError(EngineException::class.java) {
                    if (it.refusal.code == RefusalCode.WRONG_ADAPTER) cancel(request).subscribe()
                }
                .doOnCancel { attempt.giveUp() }
        }

    private fun judge(step: StreamStep, sink: SynchronousSink<EngineEvent>) {
        when (step) {
            is StreamStep.Emit -> sink.next(step.event)
            is StreamStep.Skip -> Unit
            is StreamStep.Fail -> sink.error(failures.stream(step))
        }
    }

    private fun lines(content: ByteBufFlux): Flux<String> {
        val splitter = LineSplitter(options.maxEventBytes)
        return content.asByteArray().concatMapIterable(splitter::split)
    }

    private fun refusal(step: Step, response: HttpClientResponse, content: ByteBufFlux): Flux<String> =
        content.collectBounded(options.maxAnswerBytes)
            .defaultIfEmpty(ByteArray(0))
            .flatMapMany { Flux.error(failures.refused(step, response.status().code(), it)) }

    private companion object {
        val closed = StreamStep.Fail(RefusalCode.BACKEND_SERVER_FAILED, "cut", "connection closed before the end")
    }
}
