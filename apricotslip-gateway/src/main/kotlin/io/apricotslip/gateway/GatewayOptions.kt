package io.apricotslip.gateway

import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId

/**
 * Settings of a gateway.
 *
 * @property nodeNumber number of this node below 2^24, unlike that of any other node.
 * @property seeds nodes that know others.
 * @property peerPort TCP port of the links between nodes, the same on all nodes.
 * @property retryBudgetRatio requests that the fleet may send again, as a share of all.
 * @property retryBudgetSlack requests that it may send again beyond that, in [retryBudgetWindowMillis].
 * @property orderLeaseMillis silence of orders between two holders.
 * @property shutdownGraceMillis time from the request to stop until the process is killed.
 * @property maxCallerConnections connections of callers.
 * @property maxBufferedBodyBytes memory for bodies of requests under way.
 */
public data class GatewayOptions(
    public val self: VmId,
    public val nodeNumber: Long,
    public val zone: ZoneId,
    public val address: String,
    public val callerHost: String,
    public val callerPort: Int,
    public val readyHost: String,
    public val readyPort: Int,
    public val seeds: List<VmId>,
    public val peerPort: Int,
    public val metricsPort: Int?,
    public val retryBudgetRatio: Double,
    public val retryBudgetSlack: Double,
    public val retryBudgetWindowMillis: Long,
    public val orderLeaseMillis: Long,
    public val shutdownGraceMillis: Long,
    public val maxCallerConnections: Int,
    public val maxBufferedBodyBytes: Long,
)
