package io.apricotslip.bench.capacity

import java.util.Locale
import kotlin.math.abs

/** Writes series as a Markdown table. */
internal object SlopeTable {
    private val header = listOf("measured", "sizes", "values", "at 0", "slope", "residual")

    fun of(series: List<Series>): String = markdownTable(listOf(header, header.map { "---" }) + series.map(::cells))

    /** Lines of a Markdown table. */
    fun markdownTable(rows: List<List<String>>): String = rows.joinToString("\n") { it.joinToString(" | ", "| ", " |") }

    /** Formats [value] with three significant digits or, from 100 on, all integer digits; four decimals below 1. */
    fun formatNumber(value: Double): String {
        val digits =
            when {
                abs(value) >= HUNDRED || value == 0.0 -> 0
                abs(value) >= TEN -> 1
                abs(value) >= 1.0 -> 2
                else -> SMALL_VALUE_DIGITS
            }
        return "%,.${digits}f".format(Locale.ROOT, value)
    }

    private fun cells(series: Series): List<String> {
        val line = series.line
        return listOf(
            series.name,
            series.points.joinToString(" / ") { formatNumber(it.size) } + " " + series.per + "s",
            series.points.joinToString(" / ") { formatNumber(it.value) } + " " + series.unit,
            formatNumber(line.intercept),
            "${formatNumber(line.slope)} ${series.unit} per ${series.per}",
            "%.1f%%".format(Locale.ROOT, line.residual * HUNDRED),
        )
    }

    private const val HUNDRED = 100.0
    private const val TEN = 10.0
    private const val SMALL_VALUE_DIGITS = 4
}
