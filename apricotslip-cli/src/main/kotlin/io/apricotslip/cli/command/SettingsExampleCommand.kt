package io.apricotslip.cli.command

import io.apricotslip.cli.ExitCode
import io.apricotslip.settings.SettingsReader
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** `apricotslip settings example`. */
@OptIn(ExperimentalCli::class)
internal class SettingsExampleCommand(private val context: CommandContext) :
    Subcommand("example", "Print settings with every key and its default") {
    override fun execute() {
        context.terminal.printLine(SettingsReader.example().trimEnd())
        context.exitCode = ExitCode.OK
    }
}
