package io.apricotslip.api.json

/** Position in a text; [line] and [column] start at 1. */
public data class JsonPosition(public val line: Int, public val column: Int) {
    override fun toString(): String = "$line:$column"
}
