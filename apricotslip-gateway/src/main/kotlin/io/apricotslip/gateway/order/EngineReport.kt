package io.apricotslip.gateway.order

import io.apricotslip.serving.fleet.ServedAdapter

/** What an engine says that it holds: [adapters] with their versions, and those that are on their way. */
public data class EngineReport(public val adapters: Map<ServedAdapter, Long>, public val loading: Set<ServedAdapter>)
