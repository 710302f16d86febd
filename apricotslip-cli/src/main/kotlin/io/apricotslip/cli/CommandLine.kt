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
import io.apricotslip.cli.command.exitWith
import io.apricotslip.cli.output.Terminal
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

/** The commands of the operator client. */
@OptIn(ExperimentalCli::class)
internal class CommandLine(private val terminal: Terminal, private val environment: Map<String, String>) {
    /** Runs the command that [args] name. */
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
        val parser = ArgParser("apricotslip", strictSubcommandOptionsOrder = true).exitWith()
        parser.subcommands(
            manifest.exitWith(),
            StatusCommand(context).exitWith(),
            RunningCommand(context).exitWith(),
            DrainCommand(context).exitWith(),
            settings.exitWith(),
            VersionCommand(context).exitWith(),
        )
        manifest.addCommands()
        settings.addCommands()
        return parser
    }

    private fun print(e: CommandExit) {
        if (e.code == ExitCode.OK) terminal.line(e.text) else terminal.error(e.text)
    }
}
