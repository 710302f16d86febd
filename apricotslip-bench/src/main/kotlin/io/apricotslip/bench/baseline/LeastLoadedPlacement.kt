package io.apricotslip.bench.baseline

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.rules.placement.Placement
import io.apricotslip.rules.placement.PlacementRequest
import kotlin.random.Random

/** Baseline: the engine with the fewest requests per unit of batch size first; ties are broken at random. */
internal class LeastLoadedPlacement(private val random: Random) : Placement {
    private val requestCounts = HashMap<BackendServerId, Int>()

    override fun updateStatus(status: EngineStatus, now: Long) {
        requestCounts[status.server] = status.running + status.waiting
    }

    override fun removeEngine(server: BackendServerId) {
        requestCounts.remove(server)
    }

    override fun rank(request: PlacementRequest, engines: List<EngineEntry>, now: Long): List<BackendServerId> =
        engines.shuffled(random).sortedBy { (requestCounts[it.id] ?: 0).toDouble() / it.batch }.map { it.id }

    override fun recordSent(adapter: AdapterVersion, server: BackendServerId, now: Long) {
        requestCounts[server] = (requestCounts[server] ?: 0) + 1
    }
}
