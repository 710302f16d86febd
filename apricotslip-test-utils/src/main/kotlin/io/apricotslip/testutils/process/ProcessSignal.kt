package io.apricotslip.testutils.process

/** Signals that a test sends to a daemon that it started. */
public enum class ProcessSignal {
    /** Asks for a planned stop. */
    TERM,

    /** Ends it at once. */
    KILL,

    /** Freezes it. */
    STOP,

    /** Wakes it after [STOP]. */
    CONT,
}
