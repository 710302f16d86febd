package io.apricotslip.cli

import io.apricotslip.cli.output.Terminal
import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** What one run of the command line left. */
internal data class Run(val code: ExitCode, val out: String, val err: String)

internal fun run(vararg args: String, environment: Map<String, String> = emptyMap()): Run {
    val out = ByteArrayOutputStream()
    val err = ByteArrayOutputStream()
    val code = CommandLine(Terminal(PrintStream(out), PrintStream(err)), environment).run(arrayOf(*args))
    return Run(code, out.toString(), err.toString())
}
