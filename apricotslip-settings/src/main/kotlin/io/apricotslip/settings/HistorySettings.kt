package io.apricotslip.settings

import kotlinx.serialization.Serializable

/** History for the checkers of the tests; without [file] nothing is recorded. */
@Serializable
public data class HistorySettings(public val file: String? = null)
