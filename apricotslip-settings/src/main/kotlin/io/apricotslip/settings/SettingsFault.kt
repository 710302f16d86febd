package io.apricotslip.settings

import io.apricotslip.api.json.JsonPosition

/**
 * One reason for which the settings are rejected.
 *
 * @property path the invalid key, such as `peers.leaseMillis`; `line:column` of the text for a syntax error.
 * @property reason one sentence in English.
 * @property position line and column in the text; null when unknown.
 */
public data class SettingsFault(
    public val path: String,
    public val reason: String,
    public val position: JsonPosition? = null,
) {
    override fun toString(): String =
        if (position == null || path == position.toString()) "$path: $reason" else "$position: $path: $reason"
}
