package io.apricotslip.gateway.order

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.VmId
import io.apricotslip.serving.fleet.ServedAdapter

/**
 * An order to a backend server to load or unload an adapter or the weights of a model.
 *
 * @property server the server that must carry out the order.
 * @property load true to load [target], false to unload it.
 * @property target the adapter, or the model when it names no adapter.
 * @property holder the node that gives the order.
 * @property fence fencing token of the holder's claim on the server.
 */
public data class Order(
    public val server: BackendServerId,
    public val load: Boolean,
    public val target: ServedAdapter,
    public val holder: VmId,
    public val fence: FenceNumber,
)
