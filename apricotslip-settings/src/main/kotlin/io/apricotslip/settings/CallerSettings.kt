package io.apricotslip.settings

import kotlinx.serialization.Serializable

/** Port for callers. */
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
