package io.apricotslip.settings

import kotlinx.serialization.Serializable

/**
 * HTTP server for operators.
 *
 * @property keys accepted bearer tokens; without keys, only requests from loopback addresses are answered.
 */
@Serializable
public data class OperatorSettings(
    public val port: Int,
    public val address: String = "127.0.0.1",
    public val keys: List<String> = emptyList(),
)
