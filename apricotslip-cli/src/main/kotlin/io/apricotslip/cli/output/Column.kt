package io.apricotslip.cli.output

/** One column of a [Table]: its [heading] and the text of a row's [cell]; null is shown as a dash. */
internal class Column<R>(val heading: String, private val cell: (R) -> Any?) {
    fun text(row: R): String = cell(row)?.toString() ?: "-"
}
