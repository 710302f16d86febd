package io.apricotslip.serving.member

import io.apricotslip.api.peer.AllowanceUse

/** What nodes tell each other about the allowances of workspaces. */
public interface AllowanceState {
    /** What workspaces sent to this node within the last second. */
    public fun ownAllowanceUse(now: Long): List<AllowanceUse>

    /** Applies what workspaces sent to all of [nodes] nodes within the last second, this node included. */
    public fun applyAllowanceTotals(totals: List<AllowanceUse>, nodes: Int, now: Long)
}
