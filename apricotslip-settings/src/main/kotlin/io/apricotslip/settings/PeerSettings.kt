package io.apricotslip.settings

import kotlinx.serialization.Serializable

/**
 * Links between nodes.
 *
 * @property silentMillis a link that receives nothing for this time is closed.
 * @property leaseMillis lifetime of the membership lease; see docs/DESIGN.md.
 * @property maxQueuedBytes size of the send queue to one peer; messages beyond it are refused.
 * @property streamWindowTokens tokens of one answer that may be in flight without an acknowledgement.
 * @property resumeMillis how long an answer is kept for its entry VM after the link has failed.
 */
@Serializable
public data class PeerSettings(
    public val port: Int,
    public val heartbeatMillis: Long = 500,
    public val silentMillis: Long = 2_000,
    public val leaseMillis: Long = 3_000,
    public val reconnectMillis: Long = 200,
    public val maxFrameBytes: Int = 4_194_304,
    public val maxQueuedBytes: Int = 16_777_216,
    public val streamWindowTokens: Int = 256,
    public val resumeMillis: Long = 10_000,
)
