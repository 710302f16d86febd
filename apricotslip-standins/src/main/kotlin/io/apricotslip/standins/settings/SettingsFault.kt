package io.apricotslip.standins.settings

/**
 * One reason why settings are refused.
 *
 * @property path place in the file, as in `engines[2].slots`, or `$` for the whole file.
 * @property reason one sentence in English.
 */
public data class SettingsFault(public val path: String, public val reason: String) {
    override fun toString(): String = "$path: $reason"
}
