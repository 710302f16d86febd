package io.apricotslip.serving.fleet

import kotlin.math.max

/** Speed of one engine, learned from the times to first events that this node saw. */
public class EngineLatencyEstimator {
    private var tokensPerMilli = PRIOR_TOKENS_PER_MILLI
    private var targetGapMillis = PRIOR_GAP_MILLIS

    /** Mean pause between two events. */
    public val meanGapMillis: Double
        get() = targetGapMillis

    /** Estimated time until an engine with [pendingPromptTokens] before a prompt of [promptTokens] sends the first event. */
    public fun firstEventMillis(pendingPromptTokens: Long, promptTokens: Int): Double =
        BASE_MILLIS + (pendingPromptTokens + promptTokens) / tokensPerMilli

    /**
     * Estimated longest pause between events while [pendingPromptTokens] wait to be read: the steps of one event each read a
     * piece of a prompt.
     */
    public fun longestGapMillis(pendingPromptTokens: Long): Double =
        minOf(pendingPromptTokens, PIECES_OF_EVENT * PIECE_TOKENS) / tokensPerMilli + targetGapMillis * GAP_SHARE

    /** Learns from a first event that came [millis] after [tokens] (those before it and its own) were sent. */
    public fun recordFirstEvent(tokens: Long, millis: Long) {
        val sample = (tokens / max(1.0, millis - BASE_MILLIS)).coerceIn(SLOWEST, FASTEST)
        // The mean of the inverse is the mean time for a token, which is what the estimate multiplies.
        tokensPerMilli = 1 / (1 / tokensPerMilli * (1 - WEIGHT) + 1 / sample * WEIGHT)
    }

    /** Learns from two events that came [millis] apart. */
    public fun recordGap(millis: Long) {
        targetGapMillis = targetGapMillis * (1 - GAP_WEIGHT) + millis * GAP_WEIGHT
    }

    private companion object {
        /** Below the 25.8 tokens a millisecond of the deployments' sheets, as reading shares steps with decoding. */
        const val PRIOR_TOKENS_PER_MILLI = 16.0

        /** Three tokens an event at some 15 ms a step, from the deployments' sheets. */
        const val PRIOR_GAP_MILLIS = 45.0

        /** One step and the way there and back. */
        const val BASE_MILLIS = 25.0

        /** Steps for one event, and tokens of prompts that a step reads, by the deployments' sheets. */
        const val PIECES_OF_EVENT = 3L
        const val PIECE_TOKENS = 1_024L

        /** The mean pause holds pieces of prompts too; this part is decoding. */
        const val GAP_SHARE = 0.5
        const val SLOWEST = 0.5
        const val FASTEST = 60.0

        /** About the last eight first events count. */
        const val WEIGHT = 0.12

        /** About the last fifty events count. */
        const val GAP_WEIGHT = 0.02
    }
}
