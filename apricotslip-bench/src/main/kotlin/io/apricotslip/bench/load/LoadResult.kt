package io.apricotslip.bench.load

import io.apricotslip.api.work.WorkClass
import org.HdrHistogram.Recorder
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Results of a load run. Times are measured from when a request was due, not when it was sent. Thread-safe. */
internal class LoadResult {
    private val firstTokenTimes = WorkClass.entries.associateWith { Recorder(SIGNIFICANT_DIGITS) }
    private val completionTimes = WorkClass.entries.associateWith { Recorder(SIGNIFICANT_DIGITS) }

    /** Number of requests by how they ended: `whole`, the code and outcome of a refusal, or `broken`. */
    val endCounts: ConcurrentHashMap<String, AtomicLong> = ConcurrentHashMap()

    /** Number of faulty answers by fault: wrong adapter, out of order, or truncated without an error. */
    val faultCounts: ConcurrentHashMap<String, AtomicLong> = ConcurrentHashMap()

    /** Tokens received. */
    val tokens: AtomicLong = AtomicLong()

    fun recordFirstToken(workClass: WorkClass, nanos: Long): Unit =
        firstTokenTimes.getValue(workClass).recordValue(nanos / NANOS_PER_MICRO)

    fun recordEnd(request: PlannedRequest, check: AnswerCheck, nanos: Long) {
        tokens.addAndGet(check.tokens.toLong())
        check.fault?.let { count(faultCounts, it.substringBefore(':')) }
        val kind = check.refusal ?: if (check.done) "whole" else "broken"
        count(endCounts, kind)
        if (check.done) completionTimes.getValue(request.workClass).recordValue(nanos / NANOS_PER_MICRO)
    }

    /** The rows of a table: class, what, count, p50, p95, p99 and maximum in milliseconds. */
    fun rows(): List<List<String>> = WorkClass.entries.flatMap { workClass ->
        listOf(
            row(workClass.label, "first token", firstTokenTimes.getValue(workClass)),
            row(workClass.label, "whole", completionTimes.getValue(workClass)),
        )
    }

    private fun row(classLabel: String, what: String, recorder: Recorder): List<String> {
        val histogram = recorder.intervalHistogram
        val percentile = { p: Double -> "%.1f".format(histogram.getValueAtPercentile(p) / MICROS_PER_MILLI) }
        return listOf(
            classLabel,
            what,
            histogram.totalCount.toString(),
            percentile(P50),
            percentile(P95),
            percentile(P99),
            percentile(MAX_PERCENTILE),
        )
    }

    private fun count(counts: ConcurrentHashMap<String, AtomicLong>, key: String) {
        counts.computeIfAbsent(key) { AtomicLong() }.incrementAndGet()
    }

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
        const val NANOS_PER_MICRO = 1_000L
        const val MICROS_PER_MILLI = 1_000.0
        const val P50 = 50.0
        const val P95 = 95.0
        const val P99 = 99.0
        const val MAX_PERCENTILE = 100.0
    }
}
