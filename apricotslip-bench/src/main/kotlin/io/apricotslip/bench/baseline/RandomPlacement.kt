package io.apricotslip.bench.baseline

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.rules.placement.Placement
import io.apricotslip.rules.placement.PlacementRequest
import kotlin.random.Random

/** Baseline: all engines in random order. */
internal class RandomPlacement(private val random: Random) : Placement {
    override fun updateStatus(status: EngineStatus, now: Long): Unit = Unit

    override fun removeEngine(server: BackendServerId): Unit = Unit

    override fun rank(request: PlacementRequest, engines: List<EngineEntry>, now: Long): List<BackendServerId> =
        engines.map { it.id }.shuffled(random)

    override fun recordSent(adapter: AdapterVersion, server: BackendServerId, now: Long): Unit = Unit
}
