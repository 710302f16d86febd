package io.apricotslip.api.json

/**
 * One reason why a text is rejected.
 *
 * @property path path in the structure, as in `adapters[3].versions[0]`; `line:column` for a syntax error.
 * @property reason one sentence in English.
 * @property position position in the text; for a missing key, that of the object without it.
 */
public data class JsonFault(
    public val path: String,
    public val reason: String,
    public val position: JsonPosition? = null,
) {
    override fun toString(): String = if (position == null) "$path: $reason" else "$position: $path: $reason"
}
