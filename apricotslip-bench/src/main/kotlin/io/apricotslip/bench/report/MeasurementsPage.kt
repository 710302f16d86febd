package io.apricotslip.bench.report

import java.nio.file.Files
import java.nio.file.Path

/** Writes the tables and plots into the page of measurements, between its markers. */
internal class MeasurementsPage(private val directory: Path) {
    fun write(reports: List<ScenarioReport>) {
        val page = directory.resolve("MEASUREMENTS.md")
        val before = if (Files.exists(page)) Files.readString(page) else "$BEGIN\n$END\n"
        val head = before.substringBefore(BEGIN)
        val tail = before.substringAfter(END)
        Files.writeString(page, head + BEGIN + "\n" + body(reports) + "\n" + END + tail)
        reports.forEach { Files.writeString(plots().resolve(fileName(it)), SvgPlot.of(it)) }
    }

    private fun plots(): Path = Files.createDirectories(directory.resolve("plots"))

    private fun body(reports: List<ScenarioReport>): String {
        val sections =
            reports.map { "### ${it.title}\n\n${MarkdownTable.of(it)}\n\n![${it.title}](plots/${fileName(it)})\n" }
        return "### Ratios\n\n${MarkdownTable.targets(reports)}\n\n" + sections.joinToString("\n")
    }

    private fun fileName(report: ScenarioReport): String =
        report.title.lowercase().replace(Regex("[^a-z0-9]+"), "-") + ".svg"

    private companion object {
        const val BEGIN = "<!-- tables of bench decide: begin -->"
        const val END = "<!-- tables of bench decide: end -->"
    }
}
