package io.apricotslip.bench.decide

import io.apricotslip.api.work.WorkClass
import org.HdrHistogram.Histogram

/** Percentiles of durations, in milliseconds. */
internal class Percentiles(histogram: Histogram) {
    val count: Long = histogram.totalCount
    val p50: Double = histogram.getValueAtPercentile(50.0) / MICROS_PER_MILLI
    val p95: Double = histogram.getValueAtPercentile(95.0) / MICROS_PER_MILLI
    val p99: Double = histogram.getValueAtPercentile(99.0) / MICROS_PER_MILLI
    val max: Double = histogram.maxValue / MICROS_PER_MILLI

    companion object {
        private const val MICROS_PER_MILLI = 1_000.0
        private const val NANOS_PER_MICRO = 1_000L
        private const val MAX_MICROS = 86_400_000_000L
        private const val SIGNIFICANT_DIGITS = 3

        fun of(nanos: List<Long>): Percentiles {
            val histogram = Histogram(MAX_MICROS, SIGNIFICANT_DIGITS)
            nanos.forEach { histogram.recordValue(minOf(maxOf(0, it / NANOS_PER_MICRO), MAX_MICROS)) }
            return Percentiles(histogram)
        }
    }
}

/**
 * Results of one run of a scenario.
 *
 * @property backlogSeconds time in which deferrable work was outstanding and could fill batches.
 * @property backlogTokens tokens generated in that time.
 */
internal class RunResult(
    val scenario: Scenario,
    val policy: String,
    val records: List<RequestRecord>,
    val loads: Long,
    val peakLoadsInFlight: Int,
    val backlogSeconds: Double,
    val backlogTokens: Double,
) {
    private val measured = records.filter { it.arrivedAt >= scenario.warmUp }

    /** Generated share of the tokens possible with all engines at full batch while deferrable work was outstanding. */
    val efficiency: Double get() = backlogTokens / (backlogSeconds * scenario.deployment.capacityTokensPerSecond)

    fun stalls(workClass: WorkClass): Percentiles =
        Percentiles.of(measured.filter { it.workClass == workClass }.map { stall(it) })

    fun waits(workClass: WorkClass): Percentiles =
        Percentiles.of(measured.filter { it.workClass == workClass }.map { startedOrEnded(it) - it.arrivedAt })

    fun refused(): Int = measured.count { it.ending == Ending.REFUSED }

    fun measuredCount(): Int = measured.size

    /**
     * Requests completed between [from] and [to], as a fraction of those that arrived or of those that
     * [sustainableRate] per second allows, whichever is less.
     */
    fun goodput(from: Long, to: Long, sustainableRate: Double): Double {
        val arrived = records.count { it.arrivedAt in from until to }
        val completed = records.count { it.ending == Ending.COMPLETED && it.endedAt in from until to }
        return completed / minOf(arrived.toDouble(), sustainableRate * (to - from) / NANOS_PER_SECOND)
    }

    /**
     * Seconds after [end] until the mean stall of interactive requests within a window of ten seconds is at most twice
     * that between the warm-up and [begin]; null if it never is.
     */
    fun recoverySeconds(begin: Long, end: Long): Double? {
        val baselineStall = meanStall(scenario.warmUp, begin)
        val windowNanos = seconds(RECOVERY_WINDOW_SECONDS)
        val starts = generateSequence(end) { it + NANOS_PER_SECOND }
            .takeWhile { it + windowNanos <= scenario.lastArrival }
        val first = starts.firstOrNull { meanStall(it, it + windowNanos) <= 2 * baselineStall } ?: return null
        return (first - end).toDouble() / NANOS_PER_SECOND
    }

    private fun meanStall(from: Long, to: Long): Double = records
        .filter { it.workClass == WorkClass.INTERACTIVE && it.arrivedAt in from until to }
        .map { stall(it).toDouble() }
        .ifEmpty { listOf(0.0) }
        .average()

    private fun stall(record: RequestRecord): Long = if (record.ending == Ending.OPEN &&
        record.startedAt == Long.MAX_VALUE
    ) {
        scenario.end - record.arrivedAt
    } else {
        record.stall
    }

    private fun startedOrEnded(record: RequestRecord): Long =
        minOf(record.startedAt, minOf(record.endedAt, scenario.end))

    private companion object {
        const val RECOVERY_WINDOW_SECONDS = 10L
    }
}
