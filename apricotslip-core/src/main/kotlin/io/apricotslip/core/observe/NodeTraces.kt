package io.apricotslip.core.observe

import io.apricotslip.settings.TraceSettings
import io.opentelemetry.api.common.Attributes
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.opentelemetry.sdk.trace.samplers.Sampler

/** Spans of this node, one for each hop of a request. The trace context is propagated as a W3C `traceparent`. */
internal class NodeTraces(vm: String, settings: TraceSettings) : AutoCloseable {
    private val provider: SdkTracerProvider =
        SdkTracerProvider
            .builder()
            .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(settings.sampleRatio)))
            .setResource(
                Resource.create(Attributes.builder().put("service.name", SERVICE_NAME).put("host.name", vm).build()),
            )
            .apply { settings.otlpEndpoint?.let { addSpanProcessor(processor(it)) } }
            .build()

    private val tracer: Tracer = provider.get(SERVICE_NAME)

    /** Starts the span of one hop as a child of [traceparent], or as a root span when that is null or invalid. */
    fun startSpan(hop: String, kind: SpanKind, traceparent: String?): Span {
        val parent = propagator.extract(Context.root(), Carrier(traceparent), getter)
        return tracer.spanBuilder(hop).setParent(parent).setSpanKind(kind).startSpan()
    }

    /** Returns the `traceparent` of [span] for the next hop, or null when its context is invalid. */
    fun traceparent(span: Span): String? {
        var header: String? = null
        propagator.inject(Context.root().with(span), Unit) { _, key, value ->
            if (key ==
                TRACEPARENT_HEADER
            ) {
                header = value
            }
        }
        return header
    }

    override fun close() {
        provider.close()
    }

    private fun processor(endpoint: String) =
        BatchSpanProcessor.builder(OtlpHttpSpanExporter.builder().setEndpoint(endpoint).build()).build()

    private companion object {
        const val SERVICE_NAME = "apricotslip"
        const val TRACEPARENT_HEADER = "traceparent"
        val propagator: W3CTraceContextPropagator = W3CTraceContextPropagator.getInstance()
        val getter =
            object : TextMapGetter<Carrier> {
                @Suppress("OVERRIDE_DEPRECATION")
                override fun keys(carrier: Carrier): Iterable<String> = listOf(TRACEPARENT_HEADER)

                override fun get(carrier: Carrier?, key: String): String? =
                    carrier?.traceparent.takeIf { key == TRACEPARENT_HEADER }
            }
    }

    private class Carrier(val traceparent: String?)
}
