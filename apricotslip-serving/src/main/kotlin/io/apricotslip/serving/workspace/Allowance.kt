package io.apricotslip.serving.workspace

/**
 * What a workspace may send over all nodes together.
 *
 * @property perSecond units a second; more than 0.
 * @property burst units that may be sent at once in addition.
 * @property unit what [perSecond], [burst] and the cost of a request count.
 * @property plainTokens cost of a request that does not say how many tokens it has; used with [Unit.TOKENS] only.
 */
public data class Allowance(
    public val perSecond: Double,
    public val burst: Double,
    public val unit: Unit = Unit.REQUESTS,
    public val plainTokens: Int = 0,
) {
    /** What a request costs that has these numbers of tokens; both are 0 when it does not say. */
    public fun cost(promptTokens: Int, maxOutputTokens: Int): Double {
        if (unit == Unit.REQUESTS) return 1.0
        val stated = promptTokens.toDouble() + maxOutputTokens
        return if (stated > 0) stated else plainTokens.toDouble()
    }

    /** What an allowance counts. */
    public enum class Unit {
        /** Each request counts 1. */
        REQUESTS,

        /** A request counts its prompt tokens and its maximum output tokens. */
        TOKENS,
    }
}
