package io.apricotslip.platform

/** IP address and TCP port of one service of the platform. */
public data class PlatformEndpoint(public val address: String, public val port: Int)

/**
 * Timeouts and limits of the platform client.
 *
 * @property watchMillis maximum time that the platform holds a call of a watch open until the value changes.
 * @property timeoutMillis timeout of a read; that of a watch is longer by [watchMillis].
 * @property retryMillis initial backoff after a failure; also the delay after a watch call that returned no change.
 * @property maxRetryMillis maximum backoff after repeated failures.
 * @property retryJitter jitter factor of the backoff, from 0.0 to 1.0.
 * @property maxValueBytes maximum length of a value; a longer one is rejected.
 */
public data class PlatformOptions(
    public val watchMillis: Long = 20_000,
    public val timeoutMillis: Long = 2_000,
    public val retryMillis: Long = 500,
    public val maxRetryMillis: Long = 10_000,
    public val retryJitter: Double = 0.5,
    public val maxValueBytes: Int = 1_048_576,
)
