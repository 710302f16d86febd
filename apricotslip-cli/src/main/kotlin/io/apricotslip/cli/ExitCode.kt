package io.apricotslip.cli

/** Exit code of the operator client; scripts rely on it. */
public enum class ExitCode(public val value: Int) {
    /** Everything asked for was done and is as it should be. */
    OK(0),

    /** A fault was found: an invalid file, a refused manifest, nodes that disagree or are not ready. */
    FAULT(1),

    /** The command line is wrong, or a file that it names cannot be read. */
    USAGE(2),

    /** At least one node did not answer, or not as expected. */
    NO_ANSWER(3),

    /** At least one node demands a key that was not given or does not know it. */
    NOT_AUTHORIZED(4),
}
