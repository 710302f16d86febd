package io.apricotslip.cli.command

import com.github.michaelbull.result.getError
import io.apricotslip.cli.output.FaultReport
import io.apricotslip.settings.SettingsReader

/** `apricotslip settings check`. Uses the same code that a node reads its settings with at startup. */
internal class SettingsCheckCommand(context: CommandContext) :
    CheckCommand(context, "Show every fault of a node's settings") {
    override fun faults(text: String): List<FaultReport> = SettingsReader.read(text).getError().orEmpty().map {
        FaultReport(it.path, it.position?.line, it.position?.column, it.reason)
    }
}
