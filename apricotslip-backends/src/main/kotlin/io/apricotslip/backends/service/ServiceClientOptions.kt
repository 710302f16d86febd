package io.apricotslip.backends.service

/**
 * Limits and timeouts of the client of plain services.
 *
 * @property maxConnections maximum concurrent connections to one replica; further calls wait.
 * @property maxWaiting maximum calls that wait for a connection; further ones fail as not run.
 * @property acquireMillis maximum wait for a connection.
 * @property connectMillis timeout for opening a connection.
 * @property timeoutMillis timeout for the whole call.
 * @property maxResponseBytes maximum length of a response body.
 */
public data class ServiceClientOptions(
    public val maxConnections: Int = 256,
    public val maxWaiting: Int = 512,
    public val acquireMillis: Long = 2_000,
    public val connectMillis: Int = 1_000,
    public val timeoutMillis: Long = 10_000,
    public val maxResponseBytes: Int = 1_048_576,
)
