package io.apricotslip.settings

import kotlinx.serialization.Serializable

/**
 * Scheduling policy under high utilization.
 *
 * @property deferrableMaxWaitMillis deferrable work is no longer held back after this time.
 * @property loadBackoffMillis delay after the first failed adapter load; doubles up to [maxLoadBackoffMillis].
 */
@Serializable
public data class PolicySettings(
    public val goal: Goal = Goal.LOAD_STALLS,
    public val popularityHalfLifeMillis: Long = 900_000,
    public val deferrableMaxWaitMillis: Long = 3_600_000,
    public val loadBackoffMillis: Long = 500,
    public val maxLoadBackoffMillis: Long = 15_000,
)
