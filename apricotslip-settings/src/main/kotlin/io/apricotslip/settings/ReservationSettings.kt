package io.apricotslip.settings

import kotlinx.serialization.Serializable

/**
 * Reservations and other calls that must not be retried.
 *
 * @property clockSkewMillis maximum difference between the clocks of callers and VMs.
 * @property retentionMillis how long the outcome of an idempotency key is remembered.
 * @property timeoutMillis timeout of one call to the service.
 */
@Serializable
public data class ReservationSettings(
    public val clockSkewMillis: Long = 2_000,
    public val retentionMillis: Long = 600_000,
    public val timeoutMillis: Long = 10_000,
)
