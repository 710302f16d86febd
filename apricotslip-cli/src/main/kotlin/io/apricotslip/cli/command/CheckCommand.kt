package io.apricotslip.cli.command

import io.apricotslip.cli.ExitCode
import io.apricotslip.cli.output.CheckReport
import io.apricotslip.cli.output.Column
import io.apricotslip.cli.output.FaultReport
import io.apricotslip.cli.output.Table
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Base of the commands that validate a file and print all its faults. */
@OptIn(ExperimentalCli::class)
internal abstract class CheckCommand(private val context: CommandContext, description: String) :
    Subcommand("check", description) {
    private val file by argument(ArgType.String, fullName = "FILE", description = "File to check")
    private val json by option(ArgType.Boolean, fullName = "json", description = "Print JSON").default(false)

    private val table =
        Table<FaultReport>(
            listOf(
                Column("LINE") { it.line },
                Column("COLUMN") { it.column },
                Column("PATH") { it.path },
                Column("FAULT") { it.reason },
            ),
        )

    /** Returns every fault of [text]; empty when it is valid. */
    protected abstract fun faults(text: String): List<FaultReport>

    override fun execute() {
        val faults = faults(readText())
        if (json) {
            val report = CheckReport(file, faults.isEmpty(), faults)
            context.terminal.printLine(Json.encodeToString(CheckReport.serializer(), report))
        } else {
            printFaults(faults)
        }
        context.exitCode = if (faults.isEmpty()) ExitCode.OK else ExitCode.FAULT
    }

    private fun printFaults(faults: List<FaultReport>) {
        if (faults.isEmpty()) return context.terminal.printLine("$file is valid.")
        table.print(faults, context.terminal)
        context.terminal.printError("error step=check peer=$file reason=\"faults: ${faults.size}\"")
    }

    private fun readText(): String = try {
        Files.readString(Path.of(file))
    } catch (e: IOException) {
        throw CommandExit("error step=read peer=$file reason=\"${e.javaClass.simpleName}\"", ExitCode.USAGE)
    }
}
