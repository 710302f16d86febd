package io.apricotslip.rules.store

/**
 * A request of a VM to its peers for loads when its own share of the store's rate is used up.
 *
 * @property wanted number of loads; may be a fraction of one.
 * @property urgency urgency of the load that is waiting.
 * @property waitedMillis how long the oldest request has waited for that load.
 */
public data class LoanRequest(public val wanted: Double, public val urgency: LoadUrgency, public val waitedMillis: Long)
