package io.apricotslip.backends.service

/**
 * Limits and times of the client of plain services.
 *
 * @property maxConnections connections to one replica at once; further calls wait.
 * @property maxWaiting calls that may wait for a connection; further ones are not run.
 * @property acquireMillis time that a call may wait for a connection.
 * @property connectMillis limit on opening a connection.
 * @property timeoutMillis limit on the whole call.
 * @property maxAnswerBytes longest answer.
 */
public data class ServiceClientOptions(
    public val maxConnections: Int = 256,
    public val maxWaiting: Int = 512,
    public val acquireMillis: Long = 2_000,
    public val connectMillis: Int = 1_000,
    public val timeoutMillis: Long = 10_000,
    public val maxAnswerBytes: Int = 1_048_576,
)
