package io.apricotslip.cli.command

import io.apricotslip.cli.ExitCode
import kotlinx.cli.ArgParser

/**
 * Makes this parser throw a [CommandExit] instead of exiting. By default kotlinx-cli prints usage errors to stdout and
 * ends the process with its own exit code. The hook that changes this is internal to the library, so it is set by
 * reflection.
 */
internal fun <P : ArgParser> P.throwOnExit(): P = apply {
    val throwExit: (String, Int) -> Nothing = { text, code ->
        throw CommandExit(text, if (code == 0) ExitCode.OK else ExitCode.USAGE)
    }
    ArgParser::class.java
        .getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java)
        .invoke(this, throwExit)
}
