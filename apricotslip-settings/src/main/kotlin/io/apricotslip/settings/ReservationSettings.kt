package io.apricotslip.settings

import kotlinx.serialization.Serializable

/** Reservations and other calls that may not be repeated. */
@Serializable
public data class ReservationSettings(
    public val clockSkewMillis: Long = 2_000,
    public val retentionMillis: Long = 600_000,
    public val timeoutMillis: Long = 10_000,
)
