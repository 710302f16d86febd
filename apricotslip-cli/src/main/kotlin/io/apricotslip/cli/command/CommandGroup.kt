package io.apricotslip.cli.command

import io.apricotslip.cli.ExitCode
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** A command that only holds others, such as `manifest`. */
@OptIn(ExperimentalCli::class)
internal class CommandGroup(
    private val context: CommandContext,
    name: String,
    description: String,
    private val commands: List<Subcommand>,
) : Subcommand(name, description) {
    private val names: String get() = commands.joinToString(", ") { it.name }

    /** Adds the commands. The parser takes over the name of its parent then, so the parent must know it by now. */
    fun addCommands() {
        strictSubcommandOptionsOrder = true
        commands.forEach { subcommands(it.exitWith()) }
    }

    override fun execute() {
        if (context.exitCode == null) throw CommandExit("$name: one of $names is needed; see --help", ExitCode.USAGE)
    }
}
