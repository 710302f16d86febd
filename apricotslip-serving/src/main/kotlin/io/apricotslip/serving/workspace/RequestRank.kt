package io.apricotslip.serving.workspace

/**
 * How urgent a request is; the most urgent one is the least.
 *
 * @property workspace priority of its workspace, which takes precedence; 0 is the highest.
 * @property route priority of its route; 0 is the highest.
 */
public data class RequestRank(public val workspace: Int, public val route: Int) : Comparable<RequestRank> {
    override fun compareTo(other: RequestRank): Int =
        compareValuesBy(this, other, RequestRank::workspace, RequestRank::route)
}
