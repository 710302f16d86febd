package io.apricotslip.settings

import kotlinx.serialization.Serializable

/**
 * HTTP server for callers.
 *
 * @property address IP address to listen on.
 * @property maxConcurrent requests that may be in progress at once on this node.
 * @property idleMillis a connection without traffic is closed after this time.
 * @property defaultDeadlineMillis deadline of requests that set none.
 * @property maxDeadlineMillis longer deadlines are reduced to this one.
 */
@Serializable
public data class CallerSettings(
    public val address: String,
    public val port: Int,
    public val maxHeaderBytes: Int = 16_384,
    public val maxBodyBytes: Int = 1_048_576,
    public val maxConcurrent: Int = 4_096,
    public val idleMillis: Long = 60_000,
    public val defaultDeadlineMillis: Long = 30_000,
    public val maxDeadlineMillis: Long = 600_000,
)
