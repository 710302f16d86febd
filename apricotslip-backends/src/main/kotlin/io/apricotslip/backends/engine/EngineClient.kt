package io.apricotslip.backends.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.outcome.Refusal
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono

/** One request to an engine. */
public data class EngineRequest(
    public val request: RequestId,
    public val adapter: AdapterVersion,
    public val prompt: String,
    public val maxTokens: Int,
    public val priority: Int,
    public val traceparent: String? = null,
)

/** What an engine streams. */
public sealed class EngineEvent {
    /** One token; [offset] counts the tokens before it. [adapter] is the one that the engine says made it. */
    public data class Token(public val offset: Int, public val text: String, public val adapter: AdapterVersion) :
        EngineEvent()

    /** The answer is whole and has [total] tokens. */
    public data class End(public val total: Int, public val finish: String, public val adapter: AdapterVersion) :
        EngineEvent()
}

/** Fails a stream of an engine. [refusal] says whether the request may have run; [reason] is the engine's word. */
public class EngineException(public val refusal: Refusal, public val reason: String) :
    RuntimeException("${refusal.step.label} at ${refusal.peer}: ${refusal.detail}")

/** Result of an order to an engine. */
public sealed class OrderResult {
    /** Obeyed; reports from [sequence] on show its effect. */
    public data class Done(public val sequence: Long) : OrderResult()

    /** Refused because the engine has seen the fencing number [highest]. */
    public data class StaleFence(public val highest: FenceNumber) : OrderResult()

    /**
     * Refused without effect, as [reason] says: `full`, `not_resident`, `load_failed`, `starting`. Reports from [sequence]
     * on follow it, where the engine told one.
     */
    public data class Rejected(public val reason: String, public val sequence: Long? = null) : OrderResult()

    /** No answer; the engine may or may not have obeyed. */
    public data class Unanswered(public val reason: String) : OrderResult()
}

/** Use of a resident adapter in a report. */
public data class ReportedAdapter(
    public val adapter: AdapterVersion,
    public val running: Int,
    public val resident: Boolean,
)

/**
 * State that an engine reported of itself; it lags behind the truth.
 *
 * @property sequence grows with every change of the engine's state.
 * @property incarnation changes when the engine restarts.
 */
public data class EngineReport(
    public val sequence: Long,
    public val incarnation: Long,
    public val slots: Int,
    public val running: Int,
    public val fence: FenceNumber,
    public val adapters: List<ReportedAdapter>,
)

/** Client of one engine. */
public interface EngineClient {
    /** The engine. */
    public val engine: EngineEntry

    /**
     * Starts a request. Fails with [EngineException]. Cancelling the subscription only closes the connection: the
     * engine goes on for a while, so that another VM can [resume]; [cancel] ends it.
     */
    public fun generate(request: EngineRequest): Flux<EngineEvent>

    /** Streams the answer of [request] again from token [from]. */
    public fun resume(request: RequestId, from: Int): Flux<EngineEvent>

    /** Cancels [request]. */
    public fun cancel(request: RequestId): Mono<Void>

    /** Loads an adapter; answers when it is resident. Never fails. */
    public fun load(adapter: AdapterVersion, fence: FenceNumber): Mono<OrderResult>

    /** Evicts an adapter. Never fails. */
    public fun evict(adapter: AdapterVersion, fence: FenceNumber): Mono<OrderResult>

    /** Reads a report. Fails when the engine does not answer. */
    public fun report(): Mono<EngineReport>
}
