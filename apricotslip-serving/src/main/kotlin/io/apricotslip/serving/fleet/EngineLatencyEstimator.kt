package io.apricotslip.serving.fleet

import io.apricotslip.serving.timing.ServerSpeed
import kotlin.math.max
import kotlin.math.min

/**
 * Estimates the latency of one engine from the events that this node received from it, or all nodes
 * ([applyFleetSpeed]).
 *
 * Prompt throughput and the gap between events are exponential moving averages.
 */
public class EngineLatencyEstimator {
    private var ownTokensPerMilli = INITIAL_TOKENS_PER_MILLI
    private var ownGapMillis = INITIAL_GAP_MILLIS
    private var meanRunning = INITIAL_RUNNING
    private var fleetSpeed: ServerSpeed? = null

    private val tokensPerMilli: Double
        get() = fleetSpeed?.millisPerToken?.takeIf { it > 0 }
            ?.let { (1 / it).coerceIn(MIN_TOKENS_PER_MILLI, MAX_TOKENS_PER_MILLI) } ?: ownTokensPerMilli

    /** Measured gaps of all nodes contain the prompts that are estimated separately; so only their ratio counts. */
    private val gapMillis: Double
        get() = fleetSpeed?.takeIf { it.gapMillis != null }?.let { INITIAL_GAP_MILLIS * it.relative } ?: ownGapMillis

    /** Mean gap between two events of a stream. */
    public val meanGapMillis: Double
        get() = gapMillis

    /** Estimates from what all nodes measured instead of this node alone; null returns to the latter. */
    internal fun applyFleetSpeed(speed: ServerSpeed?) {
        fleetSpeed = speed
    }

    /**
     * Estimated time until the engine sends the first event for a prompt of [promptTokens] behind
     * [pendingPromptTokens] of other requests.
     */
    public fun firstEventMillis(pendingPromptTokens: Long, promptTokens: Int): Double =
        BASE_LATENCY_MILLIS + (pendingPromptTokens + promptTokens) / tokensPerMilli

    /**
     * Estimated longest gap between events while [pendingPromptTokens] wait and [running] requests share the batch.
     *
     * Each of the engine steps that produce one event also processes a chunk of the pending prompts, and a step takes
     * longer the more requests share it.
     */
    public fun longestGapMillis(pendingPromptTokens: Long, running: Int): Double {
        val steps = (gapMillis / STEP_MILLIS).coerceIn(1.0, MAX_STEPS_PER_EVENT)
        val promptMillis = min(pendingPromptTokens.toDouble(), steps * PROMPT_TOKENS_PER_STEP) / tokensPerMilli
        val batchRatio = (running + FIXED_STEP_REQUESTS) / (meanRunning + FIXED_STEP_REQUESTS)
        return promptMillis + gapMillis * DECODING_SHARE_OF_GAP * max(1.0, batchRatio)
    }

    /** Records a first event that came [millis] after its request; [tokens] are those queued before it plus its own. */
    public fun recordFirstEvent(tokens: Long, millis: Long) {
        val sample = (tokens / max(1.0, millis - BASE_LATENCY_MILLIS))
            .coerceIn(MIN_TOKENS_PER_MILLI, MAX_TOKENS_PER_MILLI)
        // Averages the time per token, not the throughput, because the estimate is proportional to that time.
        ownTokensPerMilli = 1 / (1 / ownTokensPerMilli * (1 - SMOOTHING_FACTOR) + 1 / sample * SMOOTHING_FACTOR)
    }

    /** Records a gap of [millis] between two events of a stream while [running] requests shared the batch. */
    public fun recordGap(millis: Long, running: Int) {
        meanRunning = meanRunning * (1 - GAP_SMOOTHING_FACTOR) + running * GAP_SMOOTHING_FACTOR
        ownGapMillis = ownGapMillis * (1 - GAP_SMOOTHING_FACTOR) + millis * GAP_SMOOTHING_FACTOR
    }

    private companion object {
        /**
         * Below the 25.8 tokens per millisecond of the deployment profiles, as prompt processing shares engine steps
         * with decoding.
         */
        const val INITIAL_TOKENS_PER_MILLI = 16.0

        /** Three tokens per event at about 15 ms per engine step, per the deployment profiles. */
        const val INITIAL_GAP_MILLIS = 45.0

        /** One engine step plus the network round trip. */
        const val BASE_LATENCY_MILLIS = 25.0

        const val INITIAL_RUNNING = 8.0

        /** Time of an engine step with a small batch, per the deployment profiles. */
        const val STEP_MILLIS = 10.0

        /** Tokens per event, per the deployment profiles. */
        const val MAX_STEPS_PER_EVENT = 8.0

        /** Running requests that add as much to a step as its fixed part. */
        const val FIXED_STEP_REQUESTS = 16.0

        /** Prompt tokens that one engine step processes, per the deployment profiles. */
        const val PROMPT_TOKENS_PER_STEP = 1_024.0

        /** The mean gap includes prompt processing; this share of it is decoding. */
        const val DECODING_SHARE_OF_GAP = 0.5
        const val MIN_TOKENS_PER_MILLI = 0.5
        const val MAX_TOKENS_PER_MILLI = 60.0

        /** Averages over about the last eight first events. */
        const val SMOOTHING_FACTOR = 0.12

        /** Averages over about the last fifty events. */
        const val GAP_SMOOTHING_FACTOR = 0.02
    }
}
