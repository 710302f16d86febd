package io.apricotslip.settings

import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import kotlinx.serialization.Serializable

/** Identity of this node. [address] is the IP address under which the other nodes reach it. */
@Serializable
public data class VmSettings(public val id: VmId, public val zone: ZoneId, public val address: String)
