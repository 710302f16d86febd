package io.apricotslip.settings

import kotlinx.serialization.Serializable

/** Event history for the checkers in the tests; nothing is recorded unless [file] is set. */
@Serializable
public data class HistorySettings(public val file: String? = null)
