package io.apricotslip.api.manifest

/**
 * One reason why a manifest is refused.
 *
 * @property path place in the file, as in `adapters[3].versions[0]`; `line:column` of the text for a syntax error.
 * @property reason one sentence in English.
 */
public data class ManifestFault(public val path: String, public val reason: String) {
    override fun toString(): String = "$path: $reason"
}
