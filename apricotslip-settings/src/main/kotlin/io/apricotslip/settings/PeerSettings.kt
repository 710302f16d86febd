package io.apricotslip.settings

import kotlinx.serialization.Serializable

/**
 * Protocol between nodes.
 *
 * @property silentMillis a link on which nothing arrives for this long is closed.
 * @property leaseMillis lifetime of the membership lease; see docs/DESIGN.md.
 * @property maxQueuedBytes messages to one peer that wait to be sent; more are refused.
 * @property streamWindowTokens tokens of one answer that may be on their way unacknowledged.
 * @property resumeMillis how long an answer whose link was lost is kept for its entry VM.
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
