package io.apricotslip.cli

import io.apricotslip.cli.output.Terminal
import kotlin.system.exitProcess

/** Runs the operator client. Exit codes: see [ExitCode] and docs/OPERATORS.md. */
public fun main(args: Array<String>) {
    logWarningsToStderr()
    val terminal = Terminal(System.out, System.err)
    val code = CommandLine(terminal, System.getenv()).run(args)
    exitProcess(code.value)
}

/**
 * Sends log lines of level `warn` and above to stderr. Uses system properties and not a resource file, because the node
 * may be on the same class path with its own logging settings.
 */
private fun logWarningsToStderr() {
    System.setProperty("tinylog.level", "warn")
    System.setProperty("tinylog.writer", "console")
    System.setProperty("tinylog.writer.stream", "err")
}
