package io.apricotslip.rules.engine

import kotlin.math.max
import kotlin.math.min

/**
 * Learns how long an engine takes for one token of a stream as a line over the number of streams that run at once, by
 * least squares over finished streams, each weighing less than the next.
 */
internal class SpeedMeter(private val batch: Int) {
    private var weight = 0.0
    private var streams = 0.0
    private var seconds = 0.0
    private var streamsSquared = 0.0
    private var product = 0.0

    fun finished(tokens: Int, nanos: Long, running: Int) {
        if (tokens <= 0 || nanos <= 0) return
        val perToken = nanos / NANOS_PER_SECOND / tokens
        weight = weight * KEEP + 1
        streams = streams * KEEP + running
        seconds = seconds * KEEP + perToken
        streamsSquared = streamsSquared * KEEP + running.toDouble() * running
        product = product * KEEP + running * perToken
    }

    /** Tokens per second of the whole engine at full batch; 0.0 before a stream finished. */
    fun fullBatch(): Double = if (weight == 0.0) 0.0 else batch / max(perToken(batch), SHORTEST)

    /** Seconds for a token of one stream among [running]; 0.0 before a stream finished. */
    fun perToken(running: Int): Double {
        if (weight == 0.0) return 0.0
        val meanStreams = streams / weight
        val meanSeconds = seconds / weight
        return meanSeconds + slope(meanStreams, meanSeconds) * (running - meanStreams)
    }

    private fun slope(meanStreams: Double, meanSeconds: Double): Double {
        val variance = streamsSquared / weight - meanStreams * meanStreams
        if (variance < LEAST_VARIANCE) return 0.0
        val covariance = product / weight - meanStreams * meanSeconds
        return min(max(0.0, covariance / variance), meanSeconds / max(1.0, meanStreams))
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val KEEP = 0.98
        const val LEAST_VARIANCE = 0.25
        const val SHORTEST = 1e-6
    }
}
