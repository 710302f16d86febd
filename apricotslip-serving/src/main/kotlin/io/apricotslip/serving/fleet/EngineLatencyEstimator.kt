package io.apricotslip.serving.fleet

import kotlin.math.max

/**
 * Estimates the latency of one engine from the events that this node received from it.
 *
 * Prompt throughput and the gap between events are exponential moving averages.
 */
public class EngineLatencyEstimator {
    private var tokensPerMilli = INITIAL_TOKENS_PER_MILLI
    private var gapMillis = INITIAL_GAP_MILLIS

    /** Mean gap between two events of a stream. */
    public val meanGapMillis: Double
        get() = gapMillis

    /**
     * Estimated time until the engine sends the first event for a prompt of [promptTokens] behind
     * [pendingPromptTokens] of other requests.
     */
    public fun firstEventMillis(pendingPromptTokens: Long, promptTokens: Int): Double =
        BASE_LATENCY_MILLIS + (pendingPromptTokens + promptTokens) / tokensPerMilli

    /**
     * Estimated longest gap between events while [pendingPromptTokens] wait: each of the engine steps that produce one
     * event also processes a chunk of the pending prompts.
     */
    public fun longestGapMillis(pendingPromptTokens: Long): Double =
        minOf(pendingPromptTokens, STEPS_PER_EVENT * PROMPT_TOKENS_PER_STEP) / tokensPerMilli +
            gapMillis * DECODING_SHARE_OF_GAP

    /** Records a first event that came [millis] after its request; [tokens] are those queued before it plus its own. */
    public fun recordFirstEvent(tokens: Long, millis: Long) {
        val sample = (tokens / max(1.0, millis - BASE_LATENCY_MILLIS))
            .coerceIn(MIN_TOKENS_PER_MILLI, MAX_TOKENS_PER_MILLI)
        // Averages the time per token, not the throughput, because the estimate is proportional to that time.
        tokensPerMilli = 1 / (1 / tokensPerMilli * (1 - SMOOTHING_FACTOR) + 1 / sample * SMOOTHING_FACTOR)
    }

    /** Records a gap of [millis] between two events of a stream. */
    public fun recordGap(millis: Long) {
        gapMillis = gapMillis * (1 - GAP_SMOOTHING_FACTOR) + millis * GAP_SMOOTHING_FACTOR
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

        /** Engine steps per event, per the deployment profiles. */
        const val STEPS_PER_EVENT = 3L

        /** Prompt tokens that one engine step processes, per the deployment profiles. */
        const val PROMPT_TOKENS_PER_STEP = 1_024L

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
