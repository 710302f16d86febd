package io.apricotslip.settings

import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import kotlinx.serialization.Serializable

/** Who this process is. [address] is the IP number that the other nodes use. */
@Serializable
public data class VmSettings(public val id: VmId, public val zone: ZoneId, public val address: String)
