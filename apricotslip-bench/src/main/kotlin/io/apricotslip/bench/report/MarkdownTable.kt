package io.apricotslip.bench.report

import io.apricotslip.api.work.WorkClass
import java.util.Locale

/** Writes reports as Markdown tables. Times are in milliseconds unless the header says otherwise. */
internal object MarkdownTable {
    private val header =
        listOf(
            "policy", "int. p50", "int. p95", "int. p99", "int. max", "plan p95", "plan p99", "def. p95", "def. p99",
            "start p99", "loads/s", "refused", "efficiency", "goodput", "normal after s",
        )

    fun of(report: ScenarioReport): String {
        val rows = listOf(report.bound) + report.rows
        val lines = listOf(header, header.map { "---" }) + rows.map(::cells)
        return lines.joinToString("\n") { it.joinToString(" | ", "| ", " |") }
    }

    private fun cells(row: Row): List<String> {
        val interactive = row.interactive
        val plan = row.stalls.getValue(WorkClass.PLAN)
        val deferrable = row.stalls.getValue(WorkClass.DEFERRABLE)
        return listOf(row.policy) +
            listOf(interactive.p50, interactive.p95, interactive.p99, interactive.max).map(::wholeNumber) +
            listOf(plan.p95, plan.p99, deferrable.p95, deferrable.p99).map(::wholeNumber) +
            wholeNumber(row.waits[WorkClass.INTERACTIVE]?.p99) +
            number(row.loadsPerSecond, 2) +
            percent(row.refusedShare) +
            number(row.efficiency, RATIO_DIGITS) +
            number(row.goodput, 2) +
            number(row.recoverySeconds, 0)
    }

    /** Compares the product with the best baseline and the bound. */
    fun targets(reports: List<ScenarioReport>): String {
        val header =
            listOf(
                "scenario",
                "p99 / best baseline's",
                "p95 / bound",
                "efficiency / best baseline's",
                "efficiency / bound",
            )
        val lines = listOf(header, header.map { "---" }) + reports.map(::targetRow)
        return lines.joinToString("\n") { it.joinToString(" | ", "| ", " |") }
    }

    private fun targetRow(report: ScenarioReport): List<String> {
        val product = report.product
        val bestP99 = report.bestP99Baseline
        val bestEfficiency = report.bestEfficiencyBaseline
        return listOf(
            report.title,
            "${ratio(product.interactive.p99, bestP99.interactive.p99)} (${bestP99.policy})",
            ratio(product.interactive.p95, report.bound.interactive.p95),
            "${ratio(product.efficiency, bestEfficiency.efficiency)} (${bestEfficiency.policy})",
            ratio(product.efficiency, report.bound.efficiency),
        )
    }

    private fun ratio(value: Double?, of: Double?): String =
        if (value == null || of == null || of == 0.0) "-" else number(value / of, RATIO_DIGITS)

    private fun wholeNumber(value: Double?): String = number(value, 0)

    private fun percent(value: Double?): String = if (value == null) "-" else number(value * PERCENT, 1) + "%"

    private fun number(value: Double?, digits: Int): String =
        if (value == null) "-" else "%.${digits}f".format(Locale.ROOT, value)

    private const val RATIO_DIGITS = 3
    private const val PERCENT = 100.0
}
