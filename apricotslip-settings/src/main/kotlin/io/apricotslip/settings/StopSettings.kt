package io.apricotslip.settings

import kotlinx.serialization.Serializable

/**
 * Graceful shutdown.
 *
 * @property graceMillis time limit for requests in progress.
 * @property announceMillis time between reporting not ready in `/readyz` and refusing new requests.
 */
@Serializable
public data class StopSettings(public val graceMillis: Long = 30_000, public val announceMillis: Long = 1_000)
