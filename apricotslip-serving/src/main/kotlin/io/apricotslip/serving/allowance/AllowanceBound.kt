package io.apricotslip.serving.allowance

import io.apricotslip.serving.workspace.Allowance

/**
 * What the platform's rules tolerate of an allowance, and what follows for its bucket.
 *
 * @property windowSeconds length of the window in which the bound holds, in seconds, over 0.
 * @property overage tolerated excess as a share of what the allowance permits within the window, 0 or more.
 * @property slackTokens tokens per window that are tolerated in addition to [overage], 0 or more; allowances in
 *   requests have no such addition.
 */
public data class AllowanceBound(
    public val windowSeconds: Double,
    public val overage: Double,
    public val slackTokens: Double,
) {
    /** What may run within a window, in units. */
    internal fun tolerated(allowance: Allowance): Double = inWindow(allowance) + margin(allowance)

    /** What the bucket of the fleet holds when a workspace has sent nothing for a while, in units. */
    internal fun depth(allowance: Allowance): Double = allowance.burst + USED_PART * margin(allowance)

    private fun inWindow(allowance: Allowance) = allowance.perSecond * windowSeconds + allowance.burst

    private fun margin(allowance: Allowance): Double {
        val fixed = if (allowance.unit == Allowance.Unit.TOKENS) slackTokens else 0.0
        return inWindow(allowance) * overage + fixed
    }

    private companion object {
        /**
         * The part of what is tolerated beyond the allowance that the bucket holds in addition to the burst. Without
         * it, demand that just fills an allowance of about one request a second is refused whenever two requests come
         * at once. The rest is for what other nodes have granted and this one does not know yet.
         */
        const val USED_PART = 0.4
    }
}
