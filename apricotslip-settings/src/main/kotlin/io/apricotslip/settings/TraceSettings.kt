package io.apricotslip.settings

import kotlinx.serialization.Serializable

/** Traces; without [otlpEndpoint] spans are made but not exported. */
@Serializable
public data class TraceSettings(public val otlpEndpoint: String? = null, public val sampleRatio: Double = 1.0)
