package io.apricotslip.bench.capacity

import java.util.Locale
import kotlin.math.abs

/** Writes series as a Markdown table. */
internal object SlopeTable {
    private val head = listOf("measured", "sizes", "values", "at 0", "slope", "residual")

    fun of(series: List<Series>): String = rows(listOf(head, head.map { "---" }) + series.map(::cells))

    /** Lines of a Markdown table. */
    fun rows(lines: List<List<String>>): String = lines.joinToString("\n") { it.joinToString(" | ", "| ", " |") }

    /** [value] with three significant digits or all whole ones. */
    fun number(value: Double): String {
        val digits =
            when {
                abs(value) >= HUNDRED || value == 0.0 -> 0
                abs(value) >= TEN -> 1
                abs(value) >= 1.0 -> 2
                else -> FINE
            }
        return "%,.${digits}f".format(Locale.ROOT, value)
    }

    private fun cells(series: Series): List<String> {
        val line = series.line
        return listOf(
            series.name,
            series.points.joinToString(" / ") { number(it.size) } + " " + series.per + "s",
            series.points.joinToString(" / ") { number(it.value) } + " " + series.unit,
            number(line.intercept),
            "${number(line.slope)} ${series.unit} per ${series.per}",
            "%.1f%%".format(Locale.ROOT, line.residual * HUNDRED),
        )
    }

    private const val HUNDRED = 100.0
    private const val TEN = 10.0
    private const val FINE = 4
}
