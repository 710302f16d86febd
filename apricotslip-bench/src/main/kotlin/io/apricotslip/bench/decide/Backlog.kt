package io.apricotslip.bench.decide

/** Measures how long deferrable work is outstanding, and the tokens generated in that time. */
internal class Backlog(private val now: () -> Long, private val tokensGenerated: () -> Double) {
    private var outstanding = 0
    private var startedAt = 0L
    private var tokensAtStart = 0.0
    private var accumulatedNanos = 0L

    var tokens: Double = 0.0
        private set
    val seconds: Double get() = accumulatedNanos.toDouble() / NANOS_PER_SECOND

    fun onArrival() {
        if (outstanding == 0) {
            startedAt = now()
            tokensAtStart = tokensGenerated()
        }
        outstanding += 1
    }

    fun onEnd() {
        outstanding -= 1
        if (outstanding == 0) accumulate()
    }

    fun close() {
        if (outstanding > 0) accumulate()
    }

    private fun accumulate() {
        accumulatedNanos += now() - startedAt
        tokens += tokensGenerated() - tokensAtStart
    }
}
