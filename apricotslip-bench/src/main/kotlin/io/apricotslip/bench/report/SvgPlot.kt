package io.apricotslip.bench.report

import java.util.Locale
import kotlin.math.log10
import kotlin.math.max

/** Draws the interactive load stalls of each policy as bars on a logarithmic scale: p50, p95, p99. */
internal object SvgPlot {
    fun of(report: ScenarioReport): String {
        val rows = listOf(report.bound) + report.rows
        val height = TOP_MARGIN + rows.size * ROW_HEIGHT + BOTTOM_MARGIN
        val lines = ArrayList<String>()
        lines += """<svg xmlns="http://www.w3.org/2000/svg" width="$WIDTH" height="$height" $FONT_ATTRIBUTES>"""
        lines += """<rect width="100%" height="100%" fill="white"/>"""
        lines += text(PLOT_LEFT, BAR_HEIGHT, report.title + ": interactive load stall, p50, p95 and p99")
        for (decade in 1..DECADE_COUNT) lines += gridLine(decade, height)
        rows.forEachIndexed { i, row -> lines += bars(row, TOP_MARGIN + i * ROW_HEIGHT) }
        lines += "</svg>"
        return lines.joinToString("\n", postfix = "\n")
    }

    private fun gridLine(decade: Int, height: Int): List<String> {
        val x = PLOT_LEFT + decade * DECADE_WIDTH
        val label = if (decade < MILLIS_DECADE_COUNT) {
            "${powerOfTen(decade)} ms"
        } else {
            "${powerOfTen(decade - MILLIS_DECADE_COUNT)} s"
        }
        return listOf(
            """<line x1="$x" y1="$TOP_MARGIN" x2="$x" y2="${height - BOTTOM_MARGIN}" stroke="#ddd"/>""",
            text(x - HALF_LABEL_WIDTH, height - LABEL_OFFSET, label),
        )
    }

    private fun bars(row: Row, y: Int): List<String> {
        val stalls = row.interactive
        val values = listOf(stalls.p99 to "#f4c095", stalls.p95 to "#e07a5f", stalls.p50 to "#3d405b")
        val rectangles =
            values.map { (millis, colour) ->
                """<rect x="$PLOT_LEFT" y="$y" width="${width(millis)}" height="$BAR_HEIGHT" fill="$colour"/>"""
            }
        return listOf(text(MARGIN, y + BAR_HEIGHT - MARGIN / 2, row.policy)) + rectangles
    }

    private fun width(millis: Double): String =
        "%.1f".format(Locale.ROOT, if (millis < 1) 1.0 else max(1.0, log10(millis) * DECADE_WIDTH))

    private fun powerOfTen(decade: Int): Int = generateSequence(1) { it * 10 }.elementAt(decade)

    private fun text(x: Int, y: Int, text: String): String = """<text x="$x" y="$y">$text</text>"""

    private const val FONT_ATTRIBUTES = "font-family=\"sans-serif\" font-size=\"12\""
    private const val WIDTH = 760
    private const val PLOT_LEFT = 200
    private const val MARGIN = 8
    private const val TOP_MARGIN = 30
    private const val BOTTOM_MARGIN = 30
    private const val ROW_HEIGHT = 22
    private const val BAR_HEIGHT = 16
    private const val DECADE_COUNT = 5
    private const val MILLIS_DECADE_COUNT = 3
    private const val DECADE_WIDTH = 100
    private const val HALF_LABEL_WIDTH = 16
    private const val LABEL_OFFSET = 12
}
