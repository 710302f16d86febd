package io.apricotslip.cli

import io.apricotslip.cli.output.Terminal
import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** Exit code and output of one run of the command line. */
internal data class CliResult(val code: ExitCode, val out: String, val err: String)

internal fun runCli(vararg args: String, environment: Map<String, String> = emptyMap()): CliResult {
    val out = ByteArrayOutputStream()
    val err = ByteArrayOutputStream()
    val code = CommandLine(Terminal(PrintStream(out), PrintStream(err)), environment).run(arrayOf(*args))
    return CliResult(code, out.toString(), err.toString())
}
