package io.apricotslip.rules.engine

import kotlin.math.max
import kotlin.math.min

/**
 * Estimates the latency per token of a stream as a linear function of the number of concurrent streams.
 *
 * The line is a least squares fit over finished streams whose weights decay with each new sample.
 */
internal class TokenLatencyEstimator(private val batch: Int) {
    private var weightSum = 0.0
    private var streamsSum = 0.0
    private var secondsSum = 0.0
    private var streamsSquaredSum = 0.0
    private var productSum = 0.0

    /** Records a stream of [tokens] tokens that took [nanos] while [running] streams ran. */
    fun recordSample(tokens: Int, nanos: Long, running: Int) {
        if (tokens <= 0 || nanos <= 0) return
        val secondsPerToken = nanos / NANOS_PER_SECOND / tokens
        weightSum = weightSum * DECAY_FACTOR + 1
        streamsSum = streamsSum * DECAY_FACTOR + running
        secondsSum = secondsSum * DECAY_FACTOR + secondsPerToken
        streamsSquaredSum = streamsSquaredSum * DECAY_FACTOR + running.toDouble() * running
        productSum = productSum * DECAY_FACTOR + running * secondsPerToken
    }

    /** Throughput of the whole engine at full batch in tokens per second; 0.0 before the first sample. */
    fun fullBatchTokensPerSecond(): Double =
        if (weightSum == 0.0) 0.0 else batch / max(secondsPerToken(batch), MIN_SECONDS_PER_TOKEN)

    /** Latency per token in seconds of one of [running] streams; 0.0 before the first sample. */
    fun secondsPerToken(running: Int): Double {
        if (weightSum == 0.0) return 0.0
        val meanStreams = streamsSum / weightSum
        val meanSeconds = secondsSum / weightSum
        return meanSeconds + slope(meanStreams, meanSeconds) * (running - meanStreams)
    }

    private fun slope(meanStreams: Double, meanSeconds: Double): Double {
        val variance = streamsSquaredSum / weightSum - meanStreams * meanStreams
        if (variance < MIN_VARIANCE) return 0.0
        val covariance = productSum / weightSum - meanStreams * meanSeconds
        return min(max(0.0, covariance / variance), meanSeconds / max(1.0, meanStreams))
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val DECAY_FACTOR = 0.98
        const val MIN_VARIANCE = 0.25
        const val MIN_SECONDS_PER_TOKEN = 1e-6
    }
}
