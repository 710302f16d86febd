package io.apricotslip.bench.decide

/**
 * Sizes and speeds of the engines in the predefined settings of the stand-ins.
 *
 * @property stepMillis time to generate one token for each stream; each running stream adds [stepMillisPerRequest].
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

    /** Nanoseconds to generate one token for each stream while [running] streams run. */
    fun stepNanos(running: Int): Double = (stepMillis + stepMillisPerRequest * running) * NANOS_PER_MILLI

    /** Tokens per second at full batch. */
    fun capacityTokensPerSecond(): Double = batch / (stepNanos(batch) / NANOS_PER_SECOND)
}
