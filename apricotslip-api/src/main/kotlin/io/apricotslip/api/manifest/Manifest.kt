package io.apricotslip.api.manifest

import io.apricotslip.api.id.AdapterId
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.id.ModelId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.id.VersionId
import io.apricotslip.api.id.ZoneId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A base model. */
@Serializable
public data class ModelEntry(public val id: ModelId)

/**
 * An adapter and its versions.
 *
 * @property versions versions that callers may request; a version that is no longer listed is withdrawn.
 * @property default version used when a caller names only the adapter.
 */
@Serializable
public data class AdapterEntry(
    public val id: AdapterId,
    public val model: ModelId,
    public val versions: List<VersionId>,
    public val default: VersionId? = null,
)

/** Whether a backend server accepts new work. */
@Serializable
public enum class ServerState {
    @SerialName("active")
    ACTIVE,

    @SerialName("leaving")
    LEAVING,
}

/** Whether an engine checks the fencing token of an order against the highest one it has seen. */
@Serializable
public enum class FenceCheck {
    @SerialName("checked")
    CHECKED,

    @SerialName("ignored")
    IGNORED,
}

/** What an engine without a free adapter slot does with a load order. */
@Serializable
public enum class WhenFull {
    @SerialName("refuses")
    REFUSES,

    @SerialName("evicts")
    EVICTS,
}

/**
 * A backend server that runs an engine.
 *
 * @property address IP address.
 * @property slots adapter slots of the engine.
 * @property batch maximum number of requests that the engine decodes concurrently.
 */
@Serializable
public data class EngineEntry(
    public val id: BackendServerId,
    public val model: ModelId,
    public val zone: ZoneId,
    public val address: String,
    public val port: Int,
    public val slots: Int,
    public val batch: Int,
    public val state: ServerState = ServerState.ACTIVE,
    public val fence: FenceCheck = FenceCheck.CHECKED,
    public val whenFull: WhenFull = WhenFull.REFUSES,
)

/** One replica of a plain service. */
@Serializable
public data class ReplicaEntry(
    public val id: BackendServerId,
    public val zone: ZoneId,
    public val address: String,
    public val port: Int,
    public val state: ServerState = ServerState.ACTIVE,
)

/** A plain service, such as booking. */
@Serializable
public data class ServiceEntry(public val id: ServiceId, public val replicas: List<ReplicaEntry>)

/** Limits of the rate-limited store from which engines load adapters. */
@Serializable
public data class StoreEntry(
    public val loadsPerSecond: Double,
    public val fullSpeedInFlight: Int,
    public val maxInFlight: Int,
)

/** The single source of truth for what the system serves. */
@Serializable
public data class Manifest(
    public val revision: ManifestRevision,
    public val models: List<ModelEntry>,
    public val adapters: List<AdapterEntry>,
    public val engines: List<EngineEntry>,
    public val services: List<ServiceEntry> = emptyList(),
    public val store: StoreEntry,
) {
    private val adaptersById: Map<AdapterId, AdapterEntry> by lazy { adapters.associateBy { it.id } }
    private val enginesById: Map<BackendServerId, EngineEntry> by lazy { engines.associateBy { it.id } }

    /** The adapter named [id], or null. */
    public fun adapter(id: AdapterId): AdapterEntry? = adaptersById[id]

    /** The engine named [id], or null. */
    public fun engine(id: BackendServerId): EngineEntry? = enginesById[id]

    /** The service named [id], or null. */
    public fun service(id: ServiceId): ServiceEntry? = services.firstOrNull { it.id == id }

    /** Whether callers may request [version] under this manifest. */
    public fun serves(version: AdapterVersion): Boolean =
        adapter(version.adapter)?.versions?.contains(version.version) == true

    /** Engines that can run [adapter] and accept new work. */
    public fun activeEngines(adapter: AdapterId): List<EngineEntry> {
        val entry = adapter(adapter) ?: return emptyList()
        return engines.filter { it.model == entry.model && it.state == ServerState.ACTIVE }
    }

    /**
     * Resolves the `model` field of a caller: `adapter@version`, or `adapter` for its default version.
     * Returns null when this manifest does not serve it.
     */
    public fun resolve(name: String): AdapterVersion? {
        val exact = AdapterVersion.parse(name)
        if (exact != null) return exact.takeIf(::serves)
        val entry = adapter(AdapterId(name)) ?: return null
        return entry.default?.let { AdapterVersion(entry.id, it) }
    }
}
