package io.apricotslip.gateway.order

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.VmId
import io.apricotslip.serving.fleet.ServedAdapter

/** An order to a backend server to load or drop [target]. */
public data class Order(
    public val server: BackendServerId,
    public val load: Boolean,
    public val target: ServedAdapter,
    public val holder: VmId,
    public val fence: FenceNumber,
)
