package io.apricotslip.backends.engine

/**
 * Limits and times of the client of one engine.
 *
 * @property maxConnections connections to the engine at once; further calls wait.
 * @property maxWaiting calls that may wait for a connection; further ones are refused as not run.
 * @property acquireMillis time that a call may wait for a connection.
 * @property connectMillis limit on opening a connection.
 * @property firstEventMillis silence after which a stream fails before its first event.
 * @property silentMillis silence after which a stream fails between events.
 * @property loadMillis limit on the answer to a load.
 * @property orderMillis limit on the answer to an evict or a cancel.
 * @property reportMillis limit on reading a report.
 * @property maxEventBytes longest line of a stream.
 * @property maxAnswerBytes longest answer to an order, report or refused request.
 */
public data class EngineClientOptions(
    public val maxConnections: Int = 512,
    public val maxWaiting: Int = 512,
    public val acquireMillis: Long = 2_000,
    public val connectMillis: Int = 1_000,
    public val firstEventMillis: Long = 10_000,
    public val silentMillis: Long = 3_000,
    public val loadMillis: Long = 30_000,
    public val orderMillis: Long = 3_000,
    public val reportMillis: Long = 2_000,
    public val maxEventBytes: Int = 65_536,
    public val maxAnswerBytes: Int = 4_194_304,
)
