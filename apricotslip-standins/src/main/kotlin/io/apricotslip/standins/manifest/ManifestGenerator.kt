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

/** Makes manifests that fit the ready settings: the same engines, replicas and store, and many adapters. */
public object ManifestGenerator {
    /** Adapters of each deployment today. */
    public const val ADAPTERS_OF_A_DEPLOYMENT: Int = 3_000

    /** Every this many adapters one has two versions. */
    private const val TWO_VERSIONS_EVERY = 4
    private val v1 = VersionId("v1")
    private val v2 = VersionId("v2")

    /** The manifest of [deployment] with adapters `club-1` to `club-N`; every fourth has versions `v1` and `v2`. */
    public fun generate(
        deployment: Deployment,
        revision: Long = 1,
        adapters: Int = ADAPTERS_OF_A_DEPLOYMENT,
    ): Manifest {
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
        val versions = if (number % TWO_VERSIONS_EVERY == 0) listOf(v1, v2) else listOf(v1)
        return AdapterEntry(AdapterId("club-$number"), model, versions, default = versions.last())
    }

    private fun engine(e: EngineSettings): EngineEntry = EngineEntry(
        id = BackendServerId(e.id),
        model = ModelId(e.model),
        zone = ZoneId(e.zone),
        address = e.address,
        port = e.port,
        slots = e.slots,
        batch = e.batch,
        fence = e.fence,
        whenFull = e.whenFull,
    )

    private fun replica(b: BookingSettings): ReplicaEntry =
        ReplicaEntry(BackendServerId(b.id), ZoneId(b.zone), b.address, b.port)
}
