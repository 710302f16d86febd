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

/** Spans of this node; each hop of a request is one span. The context travels as a W3C `traceparent`. */
internal class NodeTraces(vm: String, settings: TraceSettings) : AutoCloseable {
    private val provider: SdkTracerProvider =
        SdkTracerProvider
            .builder()
            .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(settings.sampleRatio)))
            .setResource(
                Resource.create(Attributes.builder().put("service.name", SERVICE).put("host.name", vm).build()),
            )
            .apply { settings.otlpEndpoint?.let { addSpanProcessor(processor(it)) } }
            .build()

    private val tracer: Tracer = provider.get(SERVICE)

    /** Starts the span of one hop as a child of [traceparent], or as a root. */
    fun startSpan(hop: String, kind: SpanKind, traceparent: String?): Span {
        val parent = propagator.extract(Context.root(), Carrier(traceparent), getter)
        return tracer.spanBuilder(hop).setParent(parent).setSpanKind(kind).startSpan()
    }

    /** The context of [span] to pass to the next hop; null when it is not valid. */
    fun traceparent(span: Span): String? {
        var header: String? = null
        propagator.inject(Context.root().with(span), Unit) { _, key, value -> if (key == HEADER) header = value }
        return header
    }

    override fun close() {
        provider.close()
    }

    private fun processor(endpoint: String) =
        BatchSpanProcessor.builder(OtlpHttpSpanExporter.builder().setEndpoint(endpoint).build()).build()

    private companion object {
        const val SERVICE = "apricotslip"
        const val HEADER = "traceparent"
        val propagator: W3CTraceContextPropagator = W3CTraceContextPropagator.getInstance()
        val getter =
            object : TextMapGetter<Carrier> {
                @Suppress("OVERRIDE_DEPRECATION")
                override fun keys(carrier: Carrier): Iterable<String> = listOf(HEADER)

                override fun get(carrier: Carrier?, key: String): String? =
                    carrier?.traceparent.takeIf { key == HEADER }
            }
    }

    private class Carrier(val traceparent: String?)
}
