package io.apricotslip.bench.decide

import io.apricotslip.api.work.WorkClass
import org.HdrHistogram.Histogram

/** Percentiles of a time, in milliseconds. */
internal class Percentiles(histogram: Histogram) {
    val count: Long = histogram.totalCount
    val p50: Double = histogram.getValueAtPercentile(50.0) / MICROS_PER_MILLI
    val p95: Double = histogram.getValueAtPercentile(95.0) / MICROS_PER_MILLI
    val p99: Double = histogram.getValueAtPercentile(99.0) / MICROS_PER_MILLI
    val max: Double = histogram.maxValue / MICROS_PER_MILLI

    companion object {
        private const val MICROS_PER_MILLI = 1_000.0
        private const val MICROS = 1_000L
        private const val HIGHEST_MICROS = 86_400_000_000L
        private const val DIGITS = 3

        fun of(nanos: List<Long>): Percentiles {
            val histogram = Histogram(HIGHEST_MICROS, DIGITS)
            nanos.forEach { histogram.recordValue(minOf(maxOf(0, it / MICROS), HIGHEST_MICROS)) }
            return Percentiles(histogram)
        }
    }
}

/**
 * What a run of a scenario gave.
 *
 * @property backlogSeconds time in which deferrable work was outstanding, so that there was something to fill batches.
 * @property backlogTokens tokens made in that time.
 */
internal class RunResult(
    val scenario: Scenario,
    val policy: String,
    val records: List<RequestRecord>,
    val loads: Long,
    val mostLoadsInFlight: Int,
    val backlogSeconds: Double,
    val backlogTokens: Double,
) {
    private val measured = records.filter { it.arrivedAt >= scenario.warmUp }

    /** Part of the tokens that all engines could have made at full batch while deferrable work was outstanding. */
    val efficiency: Double get() = backlogTokens / (backlogSeconds * scenario.deployment.capacity)

    fun stalls(workClass: WorkClass): Percentiles =
        Percentiles.of(measured.filter { it.workClass == workClass }.map { stall(it) })

    fun waits(workClass: WorkClass): Percentiles =
        Percentiles.of(measured.filter { it.workClass == workClass }.map { startedOrEnded(it) - it.arrivedAt })

    fun refused(): Int = measured.count { it.ending == Ending.REFUSED }

    fun measuredCount(): Int = measured.size

    /** Requests completed between two times, as a part of those that arrived or that [carried] per second allows. */
    fun goodput(from: Long, to: Long, carried: Double): Double {
        val arrived = records.count { it.arrivedAt in from until to }
        val done = records.count { it.ending == Ending.COMPLETED && it.endedAt in from until to }
        return done / minOf(arrived.toDouble(), carried * (to - from) / NANOS_PER_SECOND)
    }

    /**
     * Seconds after [end] until the mean stall of interactive requests that arrive within ten seconds is no more than
     * twice that of the time from the warm-up to [begin]; null when it never is.
     */
    fun secondsToNormal(begin: Long, end: Long): Double? {
        val normal = meanStall(scenario.warmUp, begin)
        val window = seconds(WINDOW_SECONDS)
        val starts = generateSequence(end) { it + NANOS_PER_SECOND }.takeWhile { it + window <= scenario.lastArrival }
        val first = starts.firstOrNull { meanStall(it, it + window) <= 2 * normal } ?: return null
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
        const val WINDOW_SECONDS = 10L
    }
}
