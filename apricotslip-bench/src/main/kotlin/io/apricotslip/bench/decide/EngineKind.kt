package io.apricotslip.bench.decide

/**
 * Sizes and speeds of the engines of the stand-ins' ready settings.
 *
 * @property stepMillis time of one token of each stream, but for [stepMillisPerRequest] for each stream that runs.
 */
internal enum class EngineKind(
    val slots: Int,
    val batch: Int,
    private val stepMillis: Double,
    private val stepMillisPerRequest: Double,
) {
    SLOW(slots = 8, batch = 12, stepMillis = 35.0, stepMillisPerRequest = 1.0),
    MEDIUM(slots = 12, batch = 24, stepMillis = 20.0, stepMillisPerRequest = 0.5),
    FAST(slots = 16, batch = 32, stepMillis = 12.0, stepMillisPerRequest = 0.3),
    ;

    /** Nanoseconds for one token of each stream when [running] run at once. */
    fun stepNanos(running: Int): Double = (stepMillis + stepMillisPerRequest * running) * NANOS_PER_MILLI

    /** Tokens per second at full batch. */
    fun capacity(): Double = batch / (stepNanos(batch) / NANOS_PER_SECOND)
}
