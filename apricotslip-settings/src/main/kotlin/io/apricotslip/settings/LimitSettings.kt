package io.apricotslip.settings

import kotlinx.serialization.Serializable

/**
 * Admission limits on the requests of callers.
 *
 * @property perCustomer requests in progress of one customer.
 * @property interactive requests in progress of the interactive class; [plan] and [deferrable] likewise.
 * @property queuePerEngine requests that wait at the owner of an engine.
 * @property retriesPerRequest maximum number of retries of one request.
 * @property retryBudgetRatio maximum number of retries as a share of all requests, 0 to 1.
 */
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
