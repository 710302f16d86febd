package io.apricotslip.cli.command

import io.apricotslip.cli.ExitCode
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** A command that only groups subcommands, such as `manifest`. */
@OptIn(ExperimentalCli::class)
internal class CommandGroup(
    private val context: CommandContext,
    name: String,
    description: String,
    private val commands: List<Subcommand>,
) : Subcommand(name, description) {
    private val commandNames: String get() = commands.joinToString(", ") { it.name }

    /**
     * Registers the subcommands. Call this only after the group itself has been registered with its parent: kotlinx-cli
     * copies the full name of the parent command at this moment.
     */
    fun addCommands() {
        strictSubcommandOptionsOrder = true
        commands.forEach { subcommands(it.throwOnExit()) }
    }

    override fun execute() {
        if (context.exitCode == null) {
            throw CommandExit("$name: one of $commandNames is needed; see --help", ExitCode.USAGE)
        }
    }
}
