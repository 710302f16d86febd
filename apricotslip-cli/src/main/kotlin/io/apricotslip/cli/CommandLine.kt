package io.apricotslip.cli

import io.apricotslip.cli.command.CommandContext
import io.apricotslip.cli.command.CommandExit
import io.apricotslip.cli.command.CommandGroup
import io.apricotslip.cli.command.DrainCommand
import io.apricotslip.cli.command.InForceCommand
import io.apricotslip.cli.command.ManifestCheckCommand
import io.apricotslip.cli.command.RefusedCommand
import io.apricotslip.cli.command.RunningCommand
import io.apricotslip.cli.command.SettingsCheckCommand
import io.apricotslip.cli.command.SettingsExampleCommand
import io.apricotslip.cli.command.StatusCommand
import io.apricotslip.cli.command.VersionCommand
import io.apricotslip.cli.command.throwOnExit
import io.apricotslip.cli.output.Terminal
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

/** Parses the command line of the operator client and runs the command. */
@OptIn(ExperimentalCli::class)
internal class CommandLine(private val terminal: Terminal, private val environment: Map<String, String>) {
    /** Runs the command given by [args] and returns its exit code. Usage errors are printed, not thrown. */
    fun run(args: Array<String>): ExitCode {
        val context = CommandContext(terminal, environment)
        return try {
            parser(context).parse(args)
            context.exitCode ?: throw CommandExit("a command is needed; see apricotslip --help", ExitCode.USAGE)
        } catch (e: CommandExit) {
            print(e)
            e.code
        }
    }

    private fun parser(context: CommandContext): ArgParser {
        val manifest =
            CommandGroup(
                context,
                name = "manifest",
                description = "Check a manifest, and read back what is in force and what was refused",
                commands = listOf(ManifestCheckCommand(context), InForceCommand(context), RefusedCommand(context)),
            )
        val settings =
            CommandGroup(
                context,
                name = "settings",
                description = "Check the settings of a node, or print an example",
                commands = listOf(SettingsCheckCommand(context), SettingsExampleCommand(context)),
            )
        val parser = ArgParser("apricotslip", strictSubcommandOptionsOrder = true).throwOnExit()
        parser.subcommands(
            manifest.throwOnExit(),
            StatusCommand(context).throwOnExit(),
            RunningCommand(context).throwOnExit(),
            DrainCommand(context).throwOnExit(),
            settings.throwOnExit(),
            VersionCommand(context).throwOnExit(),
        )
        manifest.addCommands()
        settings.addCommands()
        return parser
    }

    private fun print(e: CommandExit) {
        if (e.code == ExitCode.OK) terminal.printLine(e.text) else terminal.printError(e.text)
    }
}
