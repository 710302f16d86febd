package io.apricotslip.bench.load

import io.apricotslip.api.work.WorkClass
import org.HdrHistogram.Recorder
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** What a load run saw. Times count from when a request was due, not from when it was sent. Thread-safe. */
internal class LoadResult {
    private val firstToken = WorkClass.entries.associateWith { Recorder(DIGITS) }
    private val whole = WorkClass.entries.associateWith { Recorder(DIGITS) }

    /** Ends by kind: `whole`, a refusal's code and outcome, or `broken`. */
    val ends: ConcurrentHashMap<String, AtomicLong> = ConcurrentHashMap()

    /** Answers that were wrong: another adapter, out of order, cut without saying so. */
    val faults: ConcurrentHashMap<String, AtomicLong> = ConcurrentHashMap()

    /** Tokens received. */
    val tokens: AtomicLong = AtomicLong()

    fun firstToken(workClass: WorkClass, nanos: Long): Unit =
        firstToken.getValue(workClass).recordValue(nanos / NANOS_PER_MICRO)

    fun ended(request: PlannedRequest, check: AnswerCheck, nanos: Long) {
        tokens.addAndGet(check.tokens.toLong())
        check.fault?.let { count(faults, it.substringBefore(':')) }
        val kind = check.refusal ?: if (check.done) "whole" else "broken"
        count(ends, kind)
        if (check.done) whole.getValue(request.workClass).recordValue(nanos / NANOS_PER_MICRO)
    }

    /** The rows of a table: class, what, count, p50, p95, p99 and longest in milliseconds. */
    fun rows(): List<List<String>> = WorkClass.entries.flatMap { c ->
        listOf(row(c.label, "first token", firstToken.getValue(c)), row(c.label, "whole", whole.getValue(c)))
    }

    private fun row(workClass: String, what: String, recorder: Recorder): List<String> {
        val h = recorder.intervalHistogram
        val at = { p: Double -> "%.1f".format(h.getValueAtPercentile(p) / MICROS_PER_MILLI) }
        return listOf(workClass, what, h.totalCount.toString(), at(P50), at(P95), at(P99), at(LONGEST))
    }

    private fun count(counts: ConcurrentHashMap<String, AtomicLong>, key: String) {
        counts.computeIfAbsent(key) { AtomicLong() }.incrementAndGet()
    }

    private companion object {
        const val DIGITS = 3
        const val NANOS_PER_MICRO = 1_000L
        const val MICROS_PER_MILLI = 1_000.0
        const val P50 = 50.0
        const val P95 = 95.0
        const val P99 = 99.0
        const val LONGEST = 100.0
    }
}
