package io.apricotslip.gateway

import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId

/**
 * Settings of a gateway.
 *
 * @property nodeNumber number of this node below 2^24, unlike that of any other node.
 * @property seeds nodes that know others.
 * @property linkPort TCP port of the links between nodes, the same on all nodes.
 * @property repeatRatio requests that the fleet may send again, as a share of all.
 * @property repeatSlack requests that it may send again beyond that, in [repeatWindowMillis].
 * @property orderLeaseMillis silence of orders between two holders.
 * @property graceMillis time from the request to stop until the process is killed.
 * @property drainMillis time after which nothing new goes to a leaving backend server.
 * @property versionMillis time in which a new version of an adapter replaces older ones.
 * @property maxCallers connections of callers.
 * @property maxBodyBytes memory for bodies of requests under way.
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
    public val readyPath: String,
    public val seeds: List<VmId>,
    public val linkPort: Int,
    public val metricsPort: Int?,
    public val repeatRatio: Double = 0.2,
    public val repeatSlack: Double = 50.0,
    public val repeatWindowMillis: Long = 10_000,
    public val orderLeaseMillis: Long = 3_000,
    public val graceMillis: Long = 8_000,
    public val versionMillis: Long = 5_000,
    public val maxCallers: Int = 2_000,
    public val maxBodyBytes: Long = 96L * 1_024 * 1_024,
)
