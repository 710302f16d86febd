package io.apricotslip.settings

import kotlinx.serialization.Serializable

/** Tracing; without [otlpEndpoint], spans are created but not exported. [sampleRatio] is from 0 to 1. */
@Serializable
public data class TraceSettings(public val otlpEndpoint: String? = null, public val sampleRatio: Double = 1.0)
