package io.apricotslip.testutils.process

/** POSIX signals that a test can send to a daemon that it started. */
public enum class ProcessSignal {
    /** Requests a graceful shutdown. */
    TERM,

    /** Terminates the process immediately. */
    KILL,

    /** Suspends the process. */
    STOP,

    /** Resumes the process after [STOP]. */
    CONT,
}
