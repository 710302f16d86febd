package io.apricotslip.safety

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.RequestId

/** Exact count of the requests that this VM runs on each adapter of each engine. */
internal class UseCounts {
    private val running = HashMap<BackendServerId, HashMap<AdapterVersion, HashSet<RequestId>>>()

    fun started(slot: AdapterSlot, request: RequestId) {
        running.getOrPut(slot.server) { HashMap() }.getOrPut(slot.adapter) { HashSet() }.add(request)
    }

    fun ended(slot: AdapterSlot, request: RequestId) {
        val adapters = running[slot.server] ?: return
        val requests = adapters[slot.adapter] ?: return
        requests.remove(request)
        if (requests.isEmpty()) adapters.remove(slot.adapter)
        if (adapters.isEmpty()) running.remove(slot.server)
    }

    fun on(slot: AdapterSlot): Int = running[slot.server]?.get(slot.adapter)?.size ?: 0

    fun idle(server: BackendServerId): Boolean = server !in running
}
