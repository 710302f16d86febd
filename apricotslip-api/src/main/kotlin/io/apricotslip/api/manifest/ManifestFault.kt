package io.apricotslip.api.manifest

import io.apricotslip.api.json.JsonPlace

/**
 * One reason why a manifest is refused.
 *
 * @property path place in the file, as in `adapters[3].versions[0]`; `line:column` of the text for a syntax error.
 * @property reason one sentence in English.
 * @property place line and column in the text, where known.
 */
public data class ManifestFault(
    public val path: String,
    public val reason: String,
    public val place: JsonPlace? = null,
) {
    override fun toString(): String =
        if (place == null || path == place.toString()) "$path: $reason" else "$place: $path: $reason"
}
