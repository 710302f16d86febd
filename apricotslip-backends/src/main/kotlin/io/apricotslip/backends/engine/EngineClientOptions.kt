package io.apricotslip.backends.engine

/**
 * Limits and timeouts of the client of one engine.
 *
 * @property maxConnections maximum concurrent connections to the engine; further calls wait.
 * @property maxWaiting maximum calls that wait for a connection; further ones fail as not run.
 * @property acquireMillis maximum wait for a connection.
 * @property connectMillis timeout for opening a connection.
 * @property firstEventMillis idle timeout of a stream before its first event.
 * @property idleMillis idle timeout of a stream between events.
 * @property loadMillis timeout for the answer to a load order.
 * @property orderMillis timeout for the answer to an evict order or a cancel.
 * @property reportMillis timeout for reading a report.
 * @property maxEventBytes maximum length of a line of a stream.
 * @property maxResponseBytes maximum length of the response to an order, a report or a refused request.
 */
public data class EngineClientOptions(
    public val maxConnections: Int = 512,
    public val maxWaiting: Int = 512,
    public val acquireMillis: Long = 2_000,
    public val connectMillis: Int = 1_000,
    public val firstEventMillis: Long = 10_000,
    public val idleMillis: Long = 3_000,
    public val loadMillis: Long = 30_000,
    public val orderMillis: Long = 3_000,
    public val reportMillis: Long = 2_000,
    public val maxEventBytes: Int = 65_536,
    public val maxResponseBytes: Int = 4_194_304,
)
