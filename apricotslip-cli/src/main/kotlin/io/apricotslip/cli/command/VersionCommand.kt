package io.apricotslip.cli.command

import io.apricotslip.cli.ExitCode
import io.apricotslip.cli.output.VersionReport
import io.apricotslip.settings.BuildVersion
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.serialization.json.Json

/** `apricotslip version`. */
@OptIn(ExperimentalCli::class)
internal class VersionCommand(private val context: CommandContext) :
    Subcommand("version", "Show the version of this client") {
    private val json by option(ArgType.Boolean, fullName = "json", description = "Print JSON").default(false)

    override fun execute() {
        val report = VersionReport(BuildVersion.value)
        val plain = "apricotslip ${report.version}"
        context.terminal.printLine(if (json) Json.encodeToString(VersionReport.serializer(), report) else plain)
        context.exitCode = ExitCode.OK
    }
}
