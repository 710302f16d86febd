package io.apricotslip.safety

import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.SafetyMessage

/** A message to hand to the link towards [to]. Losing, repeating or delaying it is safe. */
public data class Envelope(public val to: VmId, public val message: SafetyMessage)
