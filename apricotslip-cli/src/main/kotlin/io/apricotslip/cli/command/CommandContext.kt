package io.apricotslip.cli.command

import io.apricotslip.cli.ExitCode
import io.apricotslip.cli.output.Terminal

/** Terminal and environment variables for a command, and the [exitCode] it sets; null until a command has run. */
internal class CommandContext(val terminal: Terminal, val environment: Map<String, String>) {
    var exitCode: ExitCode? = null
}
