package io.apricotslip.gateway

import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.serving.allowance.AllowanceBound

/**
 * Settings of a gateway.
 *
 * @property nodeNumber unique number of this node in the deployment, below 2^24.
 * @property weight capacity of this node in relation to others; the nodes with the highest gather the reports.
 * @property seeds nodes through which this node discovers the others.
 * @property peerPort TCP port of the links between nodes, the same on all nodes.
 * @property retryBudgetRatio retries that the fleet may send, as a share of all requests.
 * @property retryBudgetSlack number of retries that the fleet may send beyond that share in [retryBudgetWindowMillis].
 * @property allowanceBound what the allowances of workspaces may be exceeded by.
 * @property orderLeaseMillis time without orders to a backend server between two of its holders, in milliseconds.
 * @property shutdownGraceMillis time from the stop request until the process is killed, in milliseconds.
 * @property maxCallerConnections maximum number of caller connections.
 * @property maxBufferedBodyBytes maximum memory for the bodies of requests in progress.
 * @property serverPace whether servers that just started or recovered get a limit that grows with their responses.
 * @property joinsServerTimings whether the nodes join what they measured of the servers' speeds and failures.
 */
public data class GatewayOptions(
    public val self: VmId,
    public val nodeNumber: Long,
    public val zone: ZoneId,
    public val weight: Int,
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
    public val allowanceBound: AllowanceBound,
    public val orderLeaseMillis: Long,
    public val shutdownGraceMillis: Long,
    public val maxCallerConnections: Int,
    public val maxBufferedBodyBytes: Long,
    public val serverPace: Boolean = false,
    public val joinsServerTimings: Boolean = false,
)
