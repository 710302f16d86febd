package io.apricotslip.core.entry

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.outcome.Refusal
import io.opentelemetry.api.trace.Span
import reactor.core.Disposable
import reactor.core.publisher.Sinks

/** One admitted request at its entry VM. Confined to the node loop, except for [sink], which the HTTP handler reads. */
internal class EntryCall(
    val spec: CallSpec,
    val binding: Binding,
    val admittedAt: Long,
    val span: Span,
    val sink: Sinks.Many<CallEvent>,
) {
    /** Id of the current attempt, which is also the id of the stream on the engine. */
    var attemptId: RequestId = spec.request

    /** Number of attempts so far. */
    var attemptCount: Int = 0

    /** The engine of the current attempt. */
    var server: BackendServerId? = null

    /** The VM that the current attempt was sent to. */
    var owner: VmId? = null

    /** Offset of the next token; all earlier tokens were passed to the caller. */
    var nextOffset: Int = 0

    /** Server and VM pairs that refused an attempt; cleared whenever a retry is delayed. */
    val excluded: MutableSet<Pair<BackendServerId, VmId>> = mutableSetOf()

    /** The last refusal, which is reported to the caller when no server is left to try. */
    var lastRefusal: Refusal? = null

    /** Whether an engine may have run an attempt. */
    var mayHaveRun: Boolean = false

    /** Pending timers, disposed when the call is closed. */
    val timers: MutableList<Disposable> = mutableListOf()

    /** Whether the request has ended. */
    var closed: Boolean = false

    /** Begins a new attempt with its own id, so that late answers of the previous attempt are recognized as stale. */
    fun newAttempt() {
        attemptCount++
        attemptId = if (attemptCount == 1) spec.request else RequestId("${spec.request}.$attemptCount")
        server = null
        owner = null
    }
}
