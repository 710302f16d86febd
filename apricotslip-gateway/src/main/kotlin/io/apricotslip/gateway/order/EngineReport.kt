package io.apricotslip.gateway.order

import io.apricotslip.serving.fleet.ServedAdapter

/**
 * What an engine reports about its adapters.
 *
 * @property adapters the loaded adapters with their versions.
 * @property loading the adapters that are being loaded.
 */
public data class EngineReport(public val adapters: Map<ServedAdapter, Long>, public val loading: Set<ServedAdapter>)
