package io.apricotslip.settings

import kotlinx.serialization.Serializable

/** Limits on callers. */
@Serializable
public data class LimitSettings(
    public val perCustomer: Int = 256,
    public val interactive: Int = 2_048,
    public val plan: Int = 1_024,
    public val deferrable: Int = 4_096,
    public val queuePerEngine: Int = 1_024,
    public val retriesPerRequest: Int = 3,
    public val retryBudgetRatio: Double = 0.1,
)
