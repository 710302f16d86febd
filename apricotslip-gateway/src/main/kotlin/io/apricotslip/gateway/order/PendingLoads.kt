package io.apricotslip.gateway.order

import io.apricotslip.serving.order.LoadRequest

/** A load request that waits; [done] receives null and the loaded version, or the reason of the failure. */
internal class PendingRequest(val request: LoadRequest, val done: (String?, Long) -> Unit) {
    val adapter = request.adapter
}

/**
 * A load that was ordered while [concurrentStoreLoads] other loads used the store. A [cached] load does not use the
 * store, as the server held the adapter not long ago.
 */
internal class OrderedLoad(val orderedAt: Long, val concurrentStoreLoads: Int, val cached: Boolean)
