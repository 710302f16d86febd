package io.apricotslip.serving.allowance

/** Whether a workspace may send a request now. */
public sealed class Admission {
    /** It may; what is not run in the end is given back through [permit]. */
    public data class Granted(public val permit: Permit) : Admission()

    /**
     * It has sent what it may.
     *
     * @property retryAfterMillis time until the allowance has capacity for the request.
     * @property figures what the decision rests on, for the log.
     */
    public data class Exceeded(public val retryAfterMillis: Long, public val figures: AllowanceFigures) : Admission()
}

/**
 * What a node knows about an allowance.
 *
 * @property askedPerSecond what the workspace asks for at all nodes, in units a second.
 * @property allowedPerSecond what all nodes may grant it now, in units a second.
 * @property ageMillis time since the figures of the other nodes arrived.
 */
public data class AllowanceFigures(
    public val askedPerSecond: Double,
    public val allowedPerSecond: Double,
    public val ageMillis: Long,
)

/** The cost of one admitted request. */
public class Permit internal constructor(private val onRefund: (Long) -> Unit) {
    private var refunded = false

    /** Gives the cost back at [now], because the request has not run and will not; only the first call counts. */
    public fun refund(now: Long) {
        if (refunded) return
        refunded = true
        onRefund(now)
    }

    public companion object {
        /** The permit of a request that costs nothing. */
        public val Free: Permit = Permit { }
    }
}
