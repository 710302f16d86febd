package io.apricotslip.settings

import io.apricotslip.api.json.JsonPlace

/**
 * One reason why settings are refused.
 *
 * @property path the wrong key, as in `peers.leaseMillis`; `line:column` of the text for a syntax error.
 * @property reason one sentence in English.
 * @property place line and column in the text, where known.
 */
public data class SettingsFault(
    public val path: String,
    public val reason: String,
    public val place: JsonPlace? = null,
) {
    override fun toString(): String =
        if (place == null || path == place.toString()) "$path: $reason" else "$place: $path: $reason"
}
