package io.apricotslip.safety

import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.SafetyMessage

/** A message to send over the link to [to]. The protocol tolerates its loss, duplication and delay. */
public data class Envelope(public val to: VmId, public val message: SafetyMessage)
