package io.apricotslip.serving.limit

/**
 * The part of the fleet's requests that this node receives.
 *
 * @property nodes number of nodes of the fleet, the largest seen lately.
 * @property fraction requests of this node as a fraction of all, from 0 to 1.
 */
public data class TrafficShare(public val nodes: Int, public val fraction: Double)
