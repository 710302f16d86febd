package io.apricotslip.api.json

/** Place in a text; [line] and [column] count from 1. */
public data class JsonPosition(public val line: Int, public val column: Int) {
    override fun toString(): String = "$line:$column"
}
