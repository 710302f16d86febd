package io.apricotslip.api.time

/**
 * Monotonic clock passed to every decision, so that tests and measurements run in virtual time.
 *
 * Compliant: `fun pick(now: Long)`, with `now` from a [Ticker]. Non-compliant: `System.nanoTime()` in a decision.
 */
public fun interface Ticker {
    /** Nanoseconds since an arbitrary origin. Never goes back. */
    public fun nanos(): Long

    public companion object {
        /** The clock of the machine. */
        public val System: Ticker = Ticker { java.lang.System.nanoTime() }
    }
}
