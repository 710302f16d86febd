package io.apricotslip.backends.engine

import io.apricotslip.api.id.AdapterId
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.VersionId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** JSON format of the engine's HTTP interface, which docs/INTERFACES.md specifies. */
internal object EngineJson {
    val format = Json { ignoreUnknownKeys = true }
}

@Serializable
internal data class CompletionBody(
    @SerialName("request_id") val requestId: String,
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int,
    val priority: Int,
    val stream: Boolean,
)

@Serializable
internal data class OrderBody(val adapter: AdapterId, val version: VersionId, val fence: FenceNumber)

/** Any event of a stream: a token, the end or an error. */
@Serializable
internal data class StreamBody(
    val id: String? = null,
    val offset: Int? = null,
    val text: String? = null,
    val finish: String? = null,
    val total: Int? = null,
    val error: String? = null,
    val adapter: AdapterId? = null,
    val version: VersionId? = null,
) {
    /** The adapter version that the engine reports, or null when either part is missing. */
    fun adapterVersion(): AdapterVersion? {
        return AdapterVersion(adapter ?: return null, version ?: return null)
    }
}

@Serializable
internal data class OrderResponse(
    val sequence: Long? = null,
    val error: String? = null,
    val highest: FenceNumber? = null,
)

@Serializable
internal data class ReportBody(
    val sequence: Long,
    val incarnation: Long,
    val slots: Int,
    val running: Int,
    val fence: FenceNumber,
    val adapters: List<ReportedAdapterBody>,
) {
    fun toReport() = EngineReport(sequence, incarnation, slots, running, fence, adapters.map { it.toReported() })
}

@Serializable
internal data class ReportedAdapterBody(
    val adapter: AdapterId,
    val version: VersionId,
    val running: Int,
    val state: String,
) {
    fun toReported() = ReportedAdapter(AdapterVersion(adapter, version), running, resident = state == "resident")
}
