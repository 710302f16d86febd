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

/** An event in the stream of an engine. */
public sealed class EngineEvent {
    /** One token; [offset] is the number of tokens before it. [adapter] is the one that the engine reports for it. */
    public data class Token(public val offset: Int, public val text: String, public val adapter: AdapterVersion) :
        EngineEvent()

    /** The answer is complete and has [total] tokens; [finish] is the engine's finish reason. */
    public data class End(public val total: Int, public val finish: String, public val adapter: AdapterVersion) :
        EngineEvent()
}

/**
 * Failure of a call to an engine.
 *
 * @property refusal the failure as reported to the caller; its certainty says whether the request may have run.
 * @property reason the error code of the engine, or one of this client such as `silent` or `gap`.
 */
public class EngineException(public val refusal: Refusal, public val reason: String) :
    RuntimeException("${refusal.step.label} at ${refusal.peer}: ${refusal.detail}")

/** Result of an order to an engine. */
public sealed class OrderResult {
    /** The order was executed; reports with a sequence number of at least [sequence] show its effect. */
    public data class Done(public val sequence: Long) : OrderResult()

    /** Rejected because the engine has already seen the higher fencing token [highest]. */
    public data class StaleFence(public val highest: FenceNumber) : OrderResult()

    /**
     * Rejected without effect.
     *
     * @property reason one of `full`, `not_resident`, `load_failed`, `starting`, or `not_sent`.
     * @property sequence reports with at least this sequence number are newer than the rejection; null when the engine
     *   gave none.
     */
    public data class Rejected(public val reason: String, public val sequence: Long? = null) : OrderResult()

    /** No valid answer; the engine may or may not have executed the order. */
    public data class Unanswered(public val reason: String) : OrderResult()
}

/** State of one adapter in a report. */
public data class ReportedAdapter(
    public val adapter: AdapterVersion,
    public val running: Int,
    public val resident: Boolean,
)

/**
 * State that an engine reported about itself; it may be out of date.
 *
 * @property sequence sequence number that grows with every change of the engine's state.
 * @property incarnation number that changes when the engine restarts.
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
    /** The manifest entry of the engine. */
    public val engine: EngineEntry

    /**
     * Starts a request and streams its events. Fails with [EngineException]. Cancelling the subscription only closes
     * the connection: the engine continues the request for a while, so that another VM can [resume] it; [cancel] ends
     * the request.
     */
    public fun generate(request: EngineRequest): Flux<EngineEvent>

    /** Streams the answer of [request] from the token at offset [from] on. Fails with [EngineException]. */
    public fun resume(request: RequestId, from: Int): Flux<EngineEvent>

    /** Cancels [request] at the engine. Never fails. */
    public fun cancel(request: RequestId): Mono<Void>

    /** Loads an adapter; completes when the adapter is resident. Never fails. */
    public fun load(adapter: AdapterVersion, fence: FenceNumber): Mono<OrderResult>

    /** Evicts an adapter. Never fails. */
    public fun evict(adapter: AdapterVersion, fence: FenceNumber): Mono<OrderResult>

    /** Reads a report. Fails with [EngineException] when the engine gives no valid answer. */
    public fun report(): Mono<EngineReport>
}
