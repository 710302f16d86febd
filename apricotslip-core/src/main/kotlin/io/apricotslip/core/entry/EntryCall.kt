package io.apricotslip.core.entry

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.outcome.Refusal
import io.opentelemetry.api.trace.Span
import reactor.core.Disposable
import reactor.core.publisher.Sinks

/** One admitted request at its entry VM. Used on the loop; [sink] alone faces the HTTP side. */
internal class EntryCall(
    val spec: CallSpec,
    val binding: Binding,
    val admittedAt: Long,
    val span: Span,
    val sink: Sinks.Many<CallEvent>,
) {
    /** Name of the present attempt, which is also the name of the stream on the engine. */
    var attempt: RequestId = spec.request

    /** Number of attempts so far. */
    var attempts: Int = 0

    /** The engine of the present attempt. */
    var server: BackendServerId? = null

    /** The VM that was asked to serve the present attempt. */
    var owner: VmId? = null

    /** Offset of the next token; all before it were passed on. */
    var next: Int = 0

    /** Pairs that refused since the last pause. */
    val avoided: MutableSet<Pair<BackendServerId, VmId>> = mutableSetOf()

    /** The last refusal, told to the caller when nothing else is left to try. */
    var lastRefusal: Refusal? = null

    /** Whether an attempt may have run. */
    var mayHaveRun: Boolean = false

    /** Timers of this call. */
    val timers: MutableList<Disposable> = mutableListOf()

    /** Whether it ended. */
    var done: Boolean = false

    /** Begins a new attempt under a name of its own, so that a late answer of the one before is told apart. */
    fun newAttempt() {
        attempts++
        attempt = if (attempts == 1) spec.request else RequestId("${spec.request}.$attempts")
        server = null
        owner = null
    }
}
