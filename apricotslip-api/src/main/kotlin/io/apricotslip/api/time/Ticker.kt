package io.apricotslip.api.time

/**
 * Monotonic clock that all decision code receives as a parameter, so that tests and measurements run in virtual time.
 *
 * Compliant: `fun pick(now: Long)`, with `now` from a [Ticker]. Non-compliant: `System.nanoTime()` in a decision.
 */
public fun interface Ticker {
    /** Nanoseconds since an arbitrary origin; never decreases. */
    public fun nanos(): Long

    public companion object {
        /** The monotonic clock of the machine. */
        public val System: Ticker = Ticker { java.lang.System.nanoTime() }
    }
}
