package io.apricotslip.cli.command

import io.apricotslip.cli.ExitCode

/** Ends a command early: [text] goes to the standard output when [code] is OK, else to the standard error. */
internal class CommandExit(val text: String, val code: ExitCode) : RuntimeException(text)
