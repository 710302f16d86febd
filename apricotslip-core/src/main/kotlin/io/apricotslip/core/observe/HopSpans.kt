package io.apricotslip.core.observe

import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.wire.Message
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind

/** Starts the spans of the owner hop and the engine hop of a request. */
internal object HopSpans {
    /** Starts the span of a request at the owner of its engine, from its arrival to the end of its stream. */
    fun startOwnerSpan(traces: NodeTraces, message: Message.GenerateStart, engine: EngineEntry): Span = traces
        .startSpan("owner", SpanKind.SERVER, message.traceparent)
        .setAttribute("request", message.request.value)
        .setAttribute("backend_server", engine.id.value)
        .setAttribute("adapter", message.adapter.toString())

    /** Starts the span of a request on its engine, as a child of [parent]. */
    fun startEngineSpan(traces: NodeTraces, parent: Span?, server: String): Span = traces
        .startSpan("engine", SpanKind.CLIENT, parent?.let(traces::traceparent))
        .setAttribute("backend_server", server)
}
