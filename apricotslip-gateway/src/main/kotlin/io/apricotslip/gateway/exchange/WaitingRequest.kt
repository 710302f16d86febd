package io.apricotslip.gateway.exchange

import io.apricotslip.gateway.caller.CallerHandler
import io.apricotslip.gateway.caller.CallerListener
import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.gateway.caller.CallerResponse

/** A request that waits until it is known who handles it; forgotten when its caller disconnects before. */
internal class WaitingRequest(
    private val request: CallerRequest,
    private val response: CallerResponse,
    private val onDisconnected: (WaitingRequest) -> Unit = {},
) : CallerListener {
    private var delegate: CallerListener? = null

    /** Whether the caller has disconnected. */
    var disconnected = false
        private set

    /** Lets [handler] handle the request, unless the caller has disconnected. */
    fun handOver(handler: CallerHandler) {
        if (!disconnected) delegate = handler.handle(request, response)
    }

    override fun onCallerDisconnected() {
        disconnected = true
        onDisconnected(this)
        delegate?.onCallerDisconnected()
    }

    override fun onWritabilityChanged(writable: Boolean) {
        delegate?.onWritabilityChanged(writable)
    }
}
