package io.apricotslip.bench.capacity

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.AdapterId
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.id.ModelId
import io.apricotslip.api.id.VersionId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.manifest.AdapterEntry
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.manifest.Manifest
import io.apricotslip.api.manifest.ModelEntry
import io.apricotslip.api.manifest.StoreEntry
import io.apricotslip.api.peer.AdapterUse
import io.apricotslip.api.peer.EngineStatus

/** Creates VM lists, manifests and engine statuses of given sizes. */
internal object Samples {
    private const val ZONE_COUNT = 19
    private const val MODEL_COUNT = 4
    private const val FIRST_PORT = 8_000
    private const val PORTS_PER_ADDRESS = 50_000
    private val version = VersionId("v3")

    fun vm(index: Int): VmId = VmId("vm-%05d".format(index))

    fun server(index: Int): BackendServerId = BackendServerId("engine-%05d".format(index))

    fun adapter(index: Int): AdapterVersion = AdapterVersion(AdapterId("club-%05d".format(index)), version)

    fun vmList(vms: Int): VmList =
        VmList(ListRevision(1), List(vms) { Vm(vm(it), zone(it), "10.0.0.1", FIRST_PORT + it) })

    fun engine(index: Int): EngineEntry = EngineEntry(
        id = server(index),
        model = model(index),
        zone = zone(index),
        address = "10.1.${index / PORTS_PER_ADDRESS}.1",
        port = FIRST_PORT + index % PORTS_PER_ADDRESS,
        slots = 16,
        batch = 16,
    )

    fun manifest(adapters: Int, engines: Int): Manifest = Manifest(
        revision = ManifestRevision(1),
        models = List(MODEL_COUNT) { ModelEntry(model(it)) },
        adapters = List(adapters) { AdapterEntry(adapter(it).adapter, model(it), listOf(version), version) },
        engines = List(engines) { engine(it) },
        store = StoreEntry(loadsPerSecond = 5.0, fullSpeedInFlight = 2, maxInFlight = 16),
    )

    fun status(index: Int, adapters: Int): EngineStatus = EngineStatus(
        server = server(index),
        slots = 16,
        batch = 16,
        running = 12,
        waiting = 3,
        waitingLoads = 1,
        freeSlots = 2,
        evictable = true,
        tokensPerSecond = 1_600.5,
        adapters = List(adapters) { AdapterUse(adapter(it), running = 2, waiting = 1) },
    )

    private fun model(index: Int): ModelId = ModelId("base-${index % MODEL_COUNT}")

    private fun zone(index: Int): ZoneId = ZoneId("z${index % ZONE_COUNT}")
}
