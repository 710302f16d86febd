package io.apricotslip.api.manifest

import io.apricotslip.api.json.JsonPosition

/**
 * One reason why a manifest is rejected.
 *
 * @property path path in the file, as in `adapters[3].versions[0]`; `line:column` of the text for a syntax error.
 * @property reason one sentence in English.
 * @property position line and column in the text, when known.
 */
public data class ManifestFault(
    public val path: String,
    public val reason: String,
    public val position: JsonPosition? = null,
) {
    override fun toString(): String =
        if (position == null || path == position.toString()) "$path: $reason" else "$position: $path: $reason"
}
