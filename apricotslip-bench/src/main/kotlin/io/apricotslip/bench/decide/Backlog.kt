package io.apricotslip.bench.decide

/** Measures the time in which deferrable work is outstanding and the tokens made meanwhile. */
internal class Backlog(private val now: () -> Long, private val tokensMade: () -> Double) {
    private var outstanding = 0
    private var since = 0L
    private var tokensBefore = 0.0
    private var nanos = 0L

    var tokens: Double = 0.0
        private set
    val seconds: Double get() = nanos.toDouble() / NANOS_PER_SECOND

    fun arrived() {
        if (outstanding == 0) {
            since = now()
            tokensBefore = tokensMade()
        }
        outstanding += 1
    }

    fun ended() {
        outstanding -= 1
        if (outstanding == 0) count()
    }

    fun close() {
        if (outstanding > 0) count()
    }

    private fun count() {
        nanos += now() - since
        tokens += tokensMade() - tokensBefore
    }
}
