package io.apricotslip.settings

import kotlinx.serialization.Serializable

/** Planned stop. */
@Serializable
public data class StopSettings(public val graceMillis: Long = 30_000, public val announceMillis: Long = 1_000)
