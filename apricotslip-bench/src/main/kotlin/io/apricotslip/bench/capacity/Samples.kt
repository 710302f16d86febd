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

/** Lists, manifests and statuses of given sizes. */
internal object Samples {
    private const val ZONES = 19
    private const val MODELS = 4
    private const val PORT = 8_000
    private const val PORTS = 50_000
    private val version = VersionId("v3")

    fun vm(i: Int): VmId = VmId("vm-%05d".format(i))

    fun server(i: Int): BackendServerId = BackendServerId("engine-%05d".format(i))

    fun adapter(i: Int): AdapterVersion = AdapterVersion(AdapterId("club-%05d".format(i)), version)

    fun list(vms: Int): VmList = VmList(ListRevision(1), List(vms) { Vm(vm(it), zone(it), "10.0.0.1", PORT + it) })

    fun engine(i: Int): EngineEntry = EngineEntry(
        id = server(i),
        model = model(i),
        zone = zone(i),
        address = "10.1.${i / PORTS}.1",
        port = PORT + i % PORTS,
        slots = 16,
        batch = 16,
    )

    fun manifest(adapters: Int, engines: Int): Manifest = Manifest(
        revision = ManifestRevision(1),
        models = List(MODELS) { ModelEntry(model(it)) },
        adapters = List(adapters) { AdapterEntry(adapter(it).adapter, model(it), listOf(version), version) },
        engines = List(engines) { engine(it) },
        store = StoreEntry(loadsPerSecond = 5.0, fullSpeedInFlight = 2, maxInFlight = 16),
    )

    fun status(i: Int, adapters: Int): EngineStatus = EngineStatus(
        server = server(i),
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

    private fun model(i: Int): ModelId = ModelId("base-${i % MODELS}")

    private fun zone(i: Int): ZoneId = ZoneId("z${i % ZONES}")
}
