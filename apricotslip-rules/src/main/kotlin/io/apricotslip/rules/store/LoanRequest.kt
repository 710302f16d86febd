package io.apricotslip.rules.store

/**
 * What a VM asks of its peers when its share of the store is used up.
 *
 * @property wanted loads, also a part of one.
 * @property waitedMillis how long the request has waited for which it asks.
 */
public data class LoanRequest(public val wanted: Double, public val urgency: LoadUrgency, public val waitedMillis: Long)
