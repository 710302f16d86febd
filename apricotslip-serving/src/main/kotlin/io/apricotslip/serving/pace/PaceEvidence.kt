package io.apricotslip.serving.pace

/**
 * What responses of one server showed about its pace.
 *
 * @property onTime responses that began within the latency objective and about as fast as those of its peers.
 * @property slow responses that began within the latency objective, but much later than those of its peers.
 * @property bad responses that came too late, refusals for lack of capacity, and failures.
 */
public data class PaceEvidence(public val onTime: Int = 0, public val slow: Int = 0, public val bad: Int = 0) {
    /** Whether there is none. */
    public val isEmpty: Boolean
        get() = onTime == 0 && slow == 0 && bad == 0

    public operator fun plus(other: PaceEvidence): PaceEvidence =
        PaceEvidence(onTime + other.onTime, slow + other.slow, bad + other.bad)
}
