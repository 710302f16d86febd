package io.apricotslip.core.observe

import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.work.WorkClass
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Prometheus metrics of a node. Each node has its own registry. */
internal class NodeMetrics {
    private val registry = PrometheusRegistry()

    private val loadStalls: Histogram =
        Histogram
            .builder()
            .name("apricotslip_load_stall_seconds")
            .help("Time that a request waited for its adapter, at the owner of the engine.")
            .labelNames("class")
            .classicUpperBounds(*LATENCY_BUCKETS_SECONDS)
            .register(registry)

    private val firstTokenLatency: Histogram =
        Histogram
            .builder()
            .name("apricotslip_first_token_seconds")
            .help("Time from admission to the first token, at the entry VM.")
            .labelNames("class")
            .classicUpperBounds(*LATENCY_BUCKETS_SECONDS)
            .register(registry)

    private val refusedRequests: Counter =
        counter("apricotslip_refusals", "Refused requests.", "code", "step", "outcome")
    private val admittedRequests: Counter = counter("apricotslip_requests", "Admitted requests.", "class")
    private val completedRequests: Counter = counter("apricotslip_requests_completed", "Whole answers.", "class")
    private val deliveredTokens: Counter = counter("apricotslip_tokens", "Tokens passed on to callers.")
    private val orders: Counter = counter("apricotslip_orders", "Orders to engines.", "order", "result")
    private val retries: Counter = counter("apricotslip_retries", "Requests placed again.", "reason")
    private val reservations: Counter =
        counter("apricotslip_reservations", "Calls decided by their home VM.", "decision")
    private val runningRequests: Gauge =
        gauge("apricotslip_engine_running", "Requests running on an owned engine.", "server")
    private val batchEfficiency: Gauge =
        gauge("apricotslip_batch_efficiency", "Share of the batch of an owned engine in use.", "server")
    private val queuedRequests: Gauge = gauge("apricotslip_engine_queue", "Requests waiting at the owner.", "server")

    /** Registers a gauge whose value is read with [read] on each scrape. */
    fun registerGauge(name: String, help: String, read: () -> Double) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(read()) }
            .register(registry)
    }

    fun recordLoadStall(workClass: WorkClass, nanos: Long): Unit =
        loadStalls.labelValues(workClass.label).observe(nanos / NANOS_PER_SECOND)

    fun recordFirstToken(workClass: WorkClass, nanos: Long): Unit =
        firstTokenLatency.labelValues(workClass.label).observe(nanos / NANOS_PER_SECOND)

    fun recordRefusal(refusal: Refusal): Unit =
        refusedRequests.labelValues(refusal.code.label, refusal.step.label, refusal.certainty.label).inc()

    fun recordAdmission(workClass: WorkClass): Unit = admittedRequests.labelValues(workClass.label).inc()

    fun recordCompletion(workClass: WorkClass, total: Int) {
        completedRequests.labelValues(workClass.label).inc()
        deliveredTokens.inc(total.toLong())
    }

    fun recordOrder(order: String, result: String): Unit = orders.labelValues(order, result).inc()

    fun recordRetry(reason: String): Unit = retries.labelValues(reason).inc()

    fun recordReservation(decision: String): Unit = reservations.labelValues(decision).inc()

    fun recordEngineState(server: String, runningNow: Int, batchSize: Int, waiting: Int) {
        runningRequests.labelValues(server).set(runningNow.toDouble())
        batchEfficiency.labelValues(server).set(runningNow.toDouble() / batchSize)
        queuedRequests.labelValues(server).set(waiting.toDouble())
    }

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter = Counter
        .builder()
        .name(name)
        .help(help)
        .labelNames(*labels)
        .register(registry)

    private fun gauge(name: String, help: String, vararg labels: String): Gauge = Gauge
        .builder()
        .name(name)
        .help(help)
        .labelNames(*labels)
        .register(registry)

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        val LATENCY_BUCKETS_SECONDS =
            doubleArrayOf(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)
    }
}
