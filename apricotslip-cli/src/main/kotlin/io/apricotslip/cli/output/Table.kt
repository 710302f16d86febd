package io.apricotslip.cli.output

/** Prints rows as a text table: a line of headings, then one line per row, with left-aligned columns. */
internal class Table<R>(private val columns: List<Column<R>>) {
    fun print(rows: List<R>, terminal: Terminal) {
        val lines = listOf(columns.map { it.heading }) + rows.map { row -> columns.map { it.text(row) } }
        val widths = columns.indices.map { column -> lines.maxOf { it[column].length } }
        lines.forEach { terminal.printLine(format(it, widths)) }
    }

    private fun format(line: List<String>, widths: List<Int>): String =
        line.mapIndexed { i, cell -> cell.padEnd(widths[i]) }.joinToString("  ").trimEnd()
}
