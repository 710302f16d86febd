package io.apricotslip.cli

/** Exit codes of the operator client. Scripts depend on the values. */
public enum class ExitCode(public val value: Int) {
    /** The command succeeded and found no fault. */
    OK(0),

    /** A fault was found: an invalid file, a refused manifest, or nodes that disagree or are not ready. */
    FAULT(1),

    /** The command line is invalid, or a file named on it cannot be read. */
    USAGE(2),

    /** At least one node did not answer or gave an unexpected answer. */
    NO_ANSWER(3),

    /** At least one node requires a key and none was given, or rejected the given key. */
    NOT_AUTHORIZED(4),
}
