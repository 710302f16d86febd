package io.apricotslip.bench.report

import java.util.Locale
import kotlin.math.log10
import kotlin.math.max

/** Draws the interactive load stalls of each policy as bars on a logarithmic scale: p50, p95, p99. */
internal object SvgPlot {
    fun of(report: ScenarioReport): String {
        val rows = listOf(report.bound) + report.rows
        val height = TOP + rows.size * ROW + BOTTOM
        val lines = ArrayList<String>()
        lines += """<svg xmlns="http://www.w3.org/2000/svg" width="$WIDTH" height="$height" $FONT>"""
        lines += """<rect width="100%" height="100%" fill="white"/>"""
        lines += text(LEFT, BAR, report.title + ": interactive load stall, p50, p95 and p99")
        for (decade in 1..DECADES) lines += gridLine(decade, height)
        rows.forEachIndexed { i, row -> lines += bars(row, TOP + i * ROW) }
        lines += "</svg>"
        return lines.joinToString("\n", postfix = "\n")
    }

    private fun gridLine(decade: Int, height: Int): List<String> {
        val x = LEFT + decade * DECADE
        val label = if (decade < DECADES_IN_MILLIS) "${pow(decade)} ms" else "${pow(decade - DECADES_IN_MILLIS)} s"
        return listOf(
            """<line x1="$x" y1="$TOP" x2="$x" y2="${height - BOTTOM}" stroke="#ddd"/>""",
            text(x - HALF_LABEL, height - LABEL_UP, label),
        )
    }

    private fun bars(row: Row, y: Int): List<String> {
        val stalls = row.interactive
        val values = listOf(stalls.p99 to "#f4c095", stalls.p95 to "#e07a5f", stalls.p50 to "#3d405b")
        val drawn =
            values.map { (millis, colour) ->
                """<rect x="$LEFT" y="$y" width="${width(millis)}" height="$BAR" fill="$colour"/>"""
            }
        return listOf(text(MARGIN, y + BAR - MARGIN / 2, row.policy)) + drawn
    }

    private fun width(millis: Double): String =
        "%.1f".format(Locale.ROOT, if (millis < 1) 1.0 else max(1.0, log10(millis) * DECADE))

    private fun pow(decade: Int): Int = generateSequence(1) { it * 10 }.elementAt(decade)

    private fun text(x: Int, y: Int, text: String): String = """<text x="$x" y="$y">$text</text>"""

    private const val FONT = "font-family=\"sans-serif\" font-size=\"12\""
    private const val WIDTH = 760
    private const val LEFT = 200
    private const val MARGIN = 8
    private const val TOP = 30
    private const val BOTTOM = 30
    private const val ROW = 22
    private const val BAR = 16
    private const val DECADES = 5
    private const val DECADES_IN_MILLIS = 3
    private const val DECADE = 100
    private const val HALF_LABEL = 16
    private const val LABEL_UP = 12
}
