package io.apricotslip.serving.fleet

/**
 * Demand for adapters at one server.
 *
 * @property inUse number of adapters that requests use or wait for.
 * @property pending number of those that are not resident.
 */
public data class AdapterDemand(public val inUse: Int = 0, public val pending: Int = 0)
