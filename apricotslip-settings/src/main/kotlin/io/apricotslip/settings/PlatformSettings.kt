package io.apricotslip.settings

import kotlinx.serialization.Serializable

/** What the platform publishes. */
@Serializable
public data class PlatformSettings(
    public val configuration: PlatformAddress,
    public val vms: PlatformAddress,
    public val manifestKey: String = "manifest",
    public val watchMillis: Long = 20_000,
    public val timeoutMillis: Long = 2_000,
    public val retryMillis: Long = 500,
    public val maxRetryMillis: Long = 10_000,
)
