package io.apricotslip.cli.command

import io.apricotslip.cli.ExitCode

/** Ends a command early. [text] is printed to stdout when [code] is [ExitCode.OK], otherwise to stderr. */
internal class CommandExit(val text: String, val code: ExitCode) : RuntimeException(text)
