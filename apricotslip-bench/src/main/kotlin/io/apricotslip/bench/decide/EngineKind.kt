package io.apricotslip.bench.decide

/**
 * Size and speed of a model engine.
 *
 * @property tokenMillis time of one token of a stream that runs alone.
 * @property slope by which each further stream lengthens that time, as a part of it.
 */
internal enum class EngineKind(val slots: Int, val batch: Int, val tokenMillis: Double, val slope: Double) {
    OLD(4, 8, 40.0, 0.02),
    MIDDLE(8, 16, 25.0, 0.02),
    NEW(12, 32, 12.0, 0.02),
    ;

    /** Nanoseconds for one token of each stream when [running] run at once. */
    fun stepNanos(running: Int): Double = tokenMillis * NANOS_PER_MILLI * (1 + slope * (running - 1))

    /** Tokens per second at full batch. */
    fun capacity(): Double = batch / (stepNanos(batch) / NANOS_PER_SECOND)
}
