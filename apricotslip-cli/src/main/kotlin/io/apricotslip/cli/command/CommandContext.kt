package io.apricotslip.cli.command

import io.apricotslip.cli.ExitCode
import io.apricotslip.cli.output.Terminal

/** What a command gets from outside, and the [exitCode] that it leaves; null until a command has run. */
internal class CommandContext(val terminal: Terminal, val environment: Map<String, String>) {
    var exitCode: ExitCode? = null
}
