package io.apricotslip.cli.command

import io.apricotslip.cli.ExitCode
import kotlinx.cli.ArgParser

/**
 * Makes this parser end with a [CommandExit]. By itself it prints usage errors on the standard output and ends the
 * process with a code of its own; the hook to change that is not visible to Kotlin, hence the reflection.
 */
internal fun <P : ArgParser> P.exitWith(): P = apply {
    val exit: (String, Int) -> Nothing = { text, code ->
        throw CommandExit(text, if (code == 0) ExitCode.OK else ExitCode.USAGE)
    }
    ArgParser::class.java
        .getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java)
        .invoke(this, exit)
}
