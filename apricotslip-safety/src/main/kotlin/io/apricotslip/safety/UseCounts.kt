package io.apricotslip.safety

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.RequestId

/** Exact counts of the requests that this VM runs, per engine and adapter. */
internal class UseCounts {
    private val running = HashMap<BackendServerId, HashMap<AdapterVersion, HashSet<RequestId>>>()

    fun started(engineAdapter: EngineAdapter, request: RequestId) {
        running.getOrPut(engineAdapter.server) { HashMap() }.getOrPut(engineAdapter.adapter) { HashSet() }.add(request)
    }

    fun ended(engineAdapter: EngineAdapter, request: RequestId) {
        val adapters = running[engineAdapter.server] ?: return
        val requests = adapters[engineAdapter.adapter] ?: return
        requests.remove(request)
        if (requests.isEmpty()) adapters.remove(engineAdapter.adapter)
        if (adapters.isEmpty()) running.remove(engineAdapter.server)
    }

    fun count(engineAdapter: EngineAdapter): Int = running[engineAdapter.server]?.get(engineAdapter.adapter)?.size ?: 0

    fun isIdle(server: BackendServerId): Boolean = server !in running
}
