package io.apricotslip.settings

import kotlinx.serialization.Serializable

/** Address of one service of the platform. */
@Serializable
public data class PlatformAddress(public val address: String, public val port: Int)
