package io.apricotslip.gateway.observe

import io.apricotslip.api.id.WorkspaceId
import io.apricotslip.serving.stream.StreamContinuation
import io.apricotslip.serving.workspace.Identity
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Metrics of one gateway, in a separate registry. */
public class GatewayMetrics {
    private val registry = PrometheusRegistry()
    private val requests = counter("apricotslip_exchanges", "Requests by route kind and outcome.", "kind", "outcome")
    private val refusals = counter("apricotslip_exchange_refusals", "Refused requests by reason.", "reason")
    private val retries = counter("apricotslip_exchange_repeats", "Requests sent again by reason.", "reason")
    private val orders = counter("apricotslip_server_orders", "Orders to backend servers.", "order", "result")
    private val storeCalls = counter("apricotslip_store_calls", "Calls to the platform's store.", "call", "result")
    private val crashes = counter("apricotslip_server_crashes", "Crashes of servers with unanswered prompts.")
    private val strayBytes =
        counter("apricotslip_stray_bytes", "Times that bytes arrived from a server that belong to no response.")
    private val takenUpStreams =
        counter("apricotslip_taken_up_streams", "Streams that callers took up, by whether they go on.", "continuation")
    private val identified =
        counter("apricotslip_workspace_requests", "Requests of callers by the workspace of their key.", "workspace")
    private val allowances = counter(
        "apricotslip_allowance_units",
        "Tokens, or requests, of workspaces with an allowance by result; asked is granted and refused.",
        "workspace",
        "result",
    )
    private val workspaceLabels = WorkspaceLabels()
    private val roomRefusals = counter(
        "apricotslip_room_refusals",
        "Requests refused for want of a place at the servers, by reason and rank.",
        "reason",
        "rank",
    )
    private val roomWaits = Histogram.builder()
        .name("apricotslip_room_wait_seconds")
        .help("Time that requests waited for a place at the servers, by rank.")
        .labelNames("rank")
        .classicUpperBounds(*FIRST_BYTE_BOUNDS_SECONDS)
        .classicOnly()
        .register(registry)
    private val firstByte = Histogram.builder()
        .name("apricotslip_first_answer_seconds")
        .help("Time from the last byte of a request to the first byte or event of its answer.")
        .labelNames("kind")
        .classicUpperBounds(*FIRST_BYTE_BOUNDS_SECONDS)
        .classicOnly()
        .register(registry)

    /** Counts a completed request by route [kind] and [outcome]. */
    public fun recordRequest(kind: String, outcome: String): Unit = requests.labelValues(kind, outcome).inc()

    /** Counts a refused request by [reason]. */
    public fun recordRefusal(reason: String): Unit = refusals.labelValues(reason).inc()

    /** Counts a request of a caller that was admitted with [identity]. */
    public fun recordIdentified(identity: Identity) {
        val label = when (identity) {
            is Identity.Known -> workspaceLabels.of(identity.workspace.id)
            Identity.Anonymous, Identity.Unknown -> NO_WORKSPACE
        }
        identified.labelValues(label).inc()
    }

    /** Counts a request of [workspace] that cost [cost] units and was [granted] or refused by its allowance. */
    public fun recordAllowance(workspace: WorkspaceId, cost: Double, granted: Boolean) {
        val label = workspaceLabels.of(workspace)
        allowances.labelValues(label, "asked").inc(cost)
        allowances.labelValues(label, if (granted) "granted" else "refused").inc(cost)
    }

    /** Counts a retry by the [reason] for it. */
    public fun recordRetry(reason: String): Unit = retries.labelValues(reason).inc()

    /** Counts an order to a backend server by [result]. */
    public fun recordOrder(order: String, result: String): Unit = orders.labelValues(order, result).inc()

    /** Counts a call to the platform's store by [result]. */
    public fun recordStoreCall(call: String, result: String): Unit = storeCalls.labelValues(call, result).inc()

    /** Counts a crash of a backend server. */
    public fun recordServerCrash(): Unit = crashes.inc()

    /** Counts bytes from a backend server that belong to no response. */
    public fun recordStrayBytes(): Unit = strayBytes.inc()

    /** Counts a stream that a caller took up. */
    public fun recordTakenUpStream(continuation: StreamContinuation) {
        val label = when (continuation) {
            is StreamContinuation.At -> "goes_on"
            is StreamContinuation.Nowhere -> continuation.reason.name.lowercase()
        }
        takenUpStreams.labelValues(label).inc()
    }

    /** Records the time from the last byte of a request to the first byte of its response, in milliseconds. */
    public fun recordFirstByte(kind: String, millis: Long): Unit =
        firstByte.labelValues(kind).observe(millis / MILLIS_PER_SECOND)

    /** Records a request of [rank] that waited [millis] for a place at the servers. */
    public fun recordRoomWait(rank: Int, millis: Long): Unit =
        roomWaits.labelValues(rank.toString()).observe(millis / MILLIS_PER_SECOND)

    /** Counts a request of [rank] that got no place at the servers, for [reason]. */
    public fun recordRoomRefusal(reason: String, rank: Int): Unit =
        roomRefusals.labelValues(reason, rank.toString()).inc()

    /** Registers the gauge of waiting requests, which [read] tells by rank. */
    public fun waitingGauge(read: () -> Map<Int, Int>) {
        GaugeWithCallback.builder().name("apricotslip_room_waiting").labelNames("rank")
            .help("Requests that wait for a place at the servers, by rank.")
            .callback { callback -> read().forEach { (rank, count) -> callback.call(count.toDouble(), "$rank") } }
            .register(registry)
    }

    /** Registers a gauge whose value is [read] when the metrics are scraped. */
    public fun gauge(name: String, help: String, read: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(read()) }.register(registry)
    }

    /** Registers a gauge with one value for each value of [label], which are [read] when the metrics are scraped. */
    public fun gauges(name: String, help: String, label: String, read: () -> Map<String, Double>) {
        GaugeWithCallback.builder().name(name).help(help).labelNames(label)
            .callback { gauge -> read().forEach { (key, value) -> gauge.call(value, key) } }
            .register(registry)
    }

    /** All metrics in the Prometheus text format. */
    public fun prometheusText(): ByteArray {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toByteArray()
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)

    private companion object {
        /** Label of requests without a key. */
        const val NO_WORKSPACE = "(none)"
        const val MILLIS_PER_SECOND = 1_000.0
        val FIRST_BYTE_BOUNDS_SECONDS = doubleArrayOf(0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.6, 2.5, 5.0, 10.0)
    }
}
