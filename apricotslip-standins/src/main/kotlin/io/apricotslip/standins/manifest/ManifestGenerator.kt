package io.apricotslip.standins.manifest

import com.github.michaelbull.result.getOrElse
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
import io.apricotslip.api.manifest.ServiceEntry
import io.apricotslip.api.manifest.StoreEntry
import io.apricotslip.standins.settings.BookingListSettings
import io.apricotslip.standins.settings.BookingSettings
import io.apricotslip.standins.settings.Checked
import io.apricotslip.standins.settings.EngineListSettings
import io.apricotslip.standins.settings.EngineSettings
import io.apricotslip.standins.settings.SettingsText
import io.apricotslip.standins.settings.StoreSettings
import kotlinx.serialization.KSerializer

/** Generates manifests that match the bundled settings: the same engines, replicas and store, with many adapters. */
public object ManifestGenerator {
    /** Current number of adapters in each deployment. */
    public const val DEFAULT_ADAPTER_COUNT: Int = 3_000

    /** Each adapter whose number is a multiple of this has two versions. */
    private const val TWO_VERSION_INTERVAL = 4
    private val v1 = VersionId("v1")
    private val v2 = VersionId("v2")

    /**
     * Returns a manifest of [deployment] with the adapters `club-1` to `club-N`, where N is [adapters]. Every fourth
     * adapter has the versions `v1` and `v2`.
     */
    public fun generate(deployment: Deployment, revision: Long = 1, adapters: Int = DEFAULT_ADAPTER_COUNT): Manifest {
        val engines = settings(deployment, "engines", EngineListSettings.serializer()).engines.map(::engine)
        val replicas = settings(deployment, "bookings", BookingListSettings.serializer()).replicas.map(::replica)
        val store = settings(deployment, "store", StoreSettings.serializer())
        val model = engines.first().model
        return Manifest(
            revision = ManifestRevision(revision),
            models = listOf(ModelEntry(model)),
            adapters = (1..adapters).map { adapter(it, model) },
            engines = engines,
            services = listOf(ServiceEntry(ServiceId("booking"), replicas)),
            store = StoreEntry(store.loadsPerSecond, store.fullSpeedInFlight, store.maxInFlight),
        )
    }

    private fun <T : Checked> settings(deployment: Deployment, name: String, serializer: KSerializer<T>): T {
        val path = "settings/${deployment.label}/$name.json"
        val stream =
            checkNotNull(javaClass.getResourceAsStream("/io/apricotslip/standins/$path")) { "$path is missing" }
        val text = stream.use { it.readBytes().decodeToString() }
        return SettingsText.read(text, serializer).getOrElse { faults -> error("$path: $faults") }
    }

    private fun adapter(number: Int, model: ModelId): AdapterEntry {
        val versions = if (number % TWO_VERSION_INTERVAL == 0) listOf(v1, v2) else listOf(v1)
        return AdapterEntry(AdapterId("club-$number"), model, versions, default = versions.last())
    }

    private fun engine(settings: EngineSettings): EngineEntry = EngineEntry(
        id = BackendServerId(settings.id),
        model = ModelId(settings.model),
        zone = ZoneId(settings.zone),
        address = settings.address,
        port = settings.port,
        slots = settings.slots,
        batch = settings.batch,
        fence = settings.fence,
        whenFull = settings.whenFull,
    )

    private fun replica(settings: BookingSettings): ReplicaEntry =
        ReplicaEntry(BackendServerId(settings.id), ZoneId(settings.zone), settings.address, settings.port)
}
