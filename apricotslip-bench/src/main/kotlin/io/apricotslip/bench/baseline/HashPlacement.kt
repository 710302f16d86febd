package io.apricotslip.bench.baseline

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.rules.placement.Placement
import io.apricotslip.rules.placement.PlacementRequest
import io.apricotslip.rules.placement.RendezvousHashing

/** Baseline: weighted rendezvous hashing alone; ignores engine status. */
internal class HashPlacement(private val weight: (EngineEntry) -> Double) : Placement {
    override fun updateStatus(status: EngineStatus, now: Long): Unit = Unit

    override fun removeEngine(server: BackendServerId): Unit = Unit

    override fun rank(request: PlacementRequest, engines: List<EngineEntry>, now: Long): List<BackendServerId> =
        RendezvousHashing.rank(request.adapter, engines, weight).map { it.id }

    override fun recordSent(adapter: AdapterVersion, server: BackendServerId, now: Long): Unit = Unit
}
