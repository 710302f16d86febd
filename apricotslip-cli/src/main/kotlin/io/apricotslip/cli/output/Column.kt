package io.apricotslip.cli.output

/** One column of a [Table]. [value] returns the value for a row; null is shown as a dash. */
internal class Column<R>(val heading: String, private val value: (R) -> Any?) {
    fun text(row: R): String = value(row)?.toString() ?: "-"
}
