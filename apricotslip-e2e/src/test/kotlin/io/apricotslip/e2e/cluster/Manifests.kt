package io.apricotslip.e2e.cluster

import io.apricotslip.api.id.AdapterId
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.id.ModelId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.id.VersionId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.manifest.AdapterEntry
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.manifest.Manifest
import io.apricotslip.api.manifest.ModelEntry
import io.apricotslip.api.manifest.ReplicaEntry
import io.apricotslip.api.manifest.ServerState
import io.apricotslip.api.manifest.ServiceEntry
import io.apricotslip.api.manifest.StoreEntry

/** Creates manifests that describe a test cluster. */
internal class Manifests(private val options: ClusterOptions, private val standins: Standins) {
    /**
     * Creates the manifest [revision].
     *
     * @param default default version of each adapter.
     * @param leaving ids of the engines that are in state `leaving`.
     */
    fun of(
        revision: Long,
        versions: List<String> = listOf("v1", "v2"),
        default: String = versions.first(),
        leaving: Set<String> = emptySet(),
    ): Manifest = Manifest(
        revision = ManifestRevision(revision),
        models = listOf(ModelEntry(model)),
        adapters = options.adapters.map {
            AdapterEntry(AdapterId(it), model, versions.map(::VersionId), VersionId(default))
        },
        engines = options.engines.map { engine(it, leaving) },
        services = listOf(ServiceEntry(ServiceId("booking"), standins.bookings.map(::replica))),
        store = StoreEntry(loadsPerSecond = 20.0, fullSpeedInFlight = 4, maxInFlight = 16),
    )

    private fun engine(engine: EngineOptions, leaving: Set<String>) = EngineEntry(
        id = BackendServerId(engine.id),
        model = model,
        zone = zone,
        address = LOOPBACK,
        port = standins.engine(engine.id).port,
        slots = engine.slots,
        batch = engine.batch,
        state = if (engine.id in leaving) ServerState.LEAVING else ServerState.ACTIVE,
        fence = engine.fence,
        whenFull = engine.whenFull,
    )

    private fun replica(standin: Standin) = ReplicaEntry(BackendServerId(standin.id), zone, LOOPBACK, standin.port)

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        val model = ModelId("base")
        val zone = ZoneId("z1")
    }
}
