package io.apricotslip.settings

import kotlinx.serialization.Serializable

/** Logging; [level] is `trace`, `debug`, `info`, `warn`, `error` or `off`. */
@Serializable
public data class LogSettings(public val level: String = "info")
