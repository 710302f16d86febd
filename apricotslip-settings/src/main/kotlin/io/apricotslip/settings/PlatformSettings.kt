package io.apricotslip.settings

import kotlinx.serialization.Serializable

/**
 * Services of the platform that publish the manifest and the list of VMs.
 *
 * @property configuration service that publishes the manifest under [manifestKey].
 * @property vms service that publishes the list of VMs.
 * @property watchMillis how long the service may hold one watch open.
 * @property timeoutMillis timeout of a read; a watch has this time in addition to [watchMillis].
 * @property retryMillis delay after the first failed call; doubles up to [maxRetryMillis].
 */
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
