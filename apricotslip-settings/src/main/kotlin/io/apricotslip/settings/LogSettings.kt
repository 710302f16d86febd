package io.apricotslip.settings

import kotlinx.serialization.Serializable

/** Logs. */
@Serializable
public data class LogSettings(public val level: String = "info")
