package io.apricotslip.bench.report

import java.nio.file.Files
import java.nio.file.Path

/** Writes the tables into MEASUREMENTS.md between its markers, and the plots into files next to it. */
internal class MeasurementsPage(private val directory: Path) {
    fun write(reports: List<ScenarioReport>) {
        val page = directory.resolve("MEASUREMENTS.md")
        val existing = if (Files.exists(page)) Files.readString(page) else "$BEGIN_MARKER\n$END_MARKER\n"
        val textBefore = existing.substringBefore(BEGIN_MARKER)
        val textAfter = existing.substringAfter(END_MARKER)
        Files.writeString(page, textBefore + BEGIN_MARKER + "\n" + body(reports) + "\n" + END_MARKER + textAfter)
        reports.forEach { Files.writeString(plotDirectory().resolve(fileName(it)), SvgPlot.of(it)) }
    }

    private fun plotDirectory(): Path = Files.createDirectories(directory.resolve("plots"))

    private fun body(reports: List<ScenarioReport>): String {
        val sections =
            reports.map { "### ${it.title}\n\n${MarkdownTable.of(it)}\n\n![${it.title}](plots/${fileName(it)})\n" }
        return "### Ratios\n\n${MarkdownTable.targets(reports)}\n\n" + sections.joinToString("\n")
    }

    private fun fileName(report: ScenarioReport): String =
        report.title.lowercase().replace(Regex("[^a-z0-9]+"), "-") + ".svg"

    private companion object {
        const val BEGIN_MARKER = "<!-- tables of bench decide: begin -->"
        const val END_MARKER = "<!-- tables of bench decide: end -->"
    }
}
