package io.apricotslip.cli.command

import com.github.michaelbull.result.getError
import io.apricotslip.api.manifest.ManifestText
import io.apricotslip.cli.output.FaultReport

/** `apricotslip manifest check`. Uses the same validation code as the nodes. */
internal class ManifestCheckCommand(context: CommandContext) :
    CheckCommand(context, "Show every fault of a manifest, as the nodes would refuse it") {
    override fun faults(text: String): List<FaultReport> = ManifestText.read(text).getError().orEmpty().map {
        FaultReport(it.path, it.position?.line, it.position?.column, it.reason)
    }
}
