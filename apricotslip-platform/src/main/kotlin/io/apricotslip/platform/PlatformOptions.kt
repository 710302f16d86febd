package io.apricotslip.platform

/** Address of one service of the platform, an IP number and a TCP port. */
public data class PlatformEndpoint(public val address: String, public val port: Int)

/**
 * Times and limits of the platform client.
 *
 * @property watchMillis time that the platform may hold a watch open.
 * @property timeoutMillis limit on a read; a watch has [watchMillis] more.
 * @property retryMillis first delay after a failure; also the pause after a watch that brought nothing.
 * @property maxRetryMillis longest delay after repeated failures.
 * @property retryJitter share of a delay by which it varies, from 0.0 to 1.0.
 * @property maxValueBytes longest value that is taken.
 */
public data class PlatformOptions(
    public val watchMillis: Long = 20_000,
    public val timeoutMillis: Long = 2_000,
    public val retryMillis: Long = 500,
    public val maxRetryMillis: Long = 10_000,
    public val retryJitter: Double = 0.5,
    public val maxValueBytes: Int = 1_048_576,
)
