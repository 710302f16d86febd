package io.apricotslip.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Body of a request for an answer. */
@Serializable
internal data class CompletionBody(
    @SerialName("request_id") val requestId: String,
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int,
    val priority: Int = 0,
    val stream: Boolean = true,
)

/** Data of the event of one token. */
@Serializable
internal data class TokenEvent(
    val id: String,
    val offset: Int,
    val text: String,
    val adapter: String,
    val version: String,
)

/** Data of the last event of a whole answer. */
@Serializable
internal data class EndEvent(
    val id: String,
    val finish: String,
    val total: Int,
    val adapter: String,
    val version: String,
)

/** Data of the last event of a broken stream. */
@Serializable
internal data class BrokenEvent(val id: String, val error: String)

/** Body of an order to load or evict. */
@Serializable
internal data class OrderBody(val adapter: String, val version: String, val fence: Long)

/** Answer to an obeyed order. */
@Serializable
internal data class SequenceBody(val sequence: Long)

/** State of an adapter in a report. */
@Serializable
internal enum class SlotState {
    @SerialName("resident")
    RESIDENT,

    @SerialName("loading")
    LOADING,
}

/** One adapter of a report; [running] counts the requests on it that run or are queued. */
@Serializable
internal data class ReportedSlot(val adapter: String, val version: String, val running: Int, val state: SlotState)

/** State of the engine at one sequence number. */
@Serializable
internal data class Report(
    val sequence: Long,
    val incarnation: Long,
    val slots: Int,
    val batch: Int,
    val running: Int,
    val queued: Int,
    val fence: Long,
    val adapters: List<ReportedSlot>,
)

/** Kind of a cache event. */
@Serializable
internal enum class CacheEventKind {
    @SerialName("stored")
    STORED,

    @SerialName("removed")
    REMOVED,
}

/** A prefix came into the cache or left it. [prefix] is a hash of the adapter and the text up to its end. */
@Serializable
internal data class CacheEvent(val number: Long, val kind: CacheEventKind, val prefix: String)

/** Cache events after a number. */
@Serializable
internal data class CacheEvents(val events: List<CacheEvent>)

/** What the controls read back of an engine. */
@Serializable
internal data class EngineState(
    val report: Report,
    val isStarting: Boolean,
    val started: Long,
    val finished: Long,
    val broken: Long,
    val tokens: Long,
    val loads: Long,
    val failedLoads: Long,
    val evictions: Long,
    val ownEvictions: Long,
    val evictionsInUse: Long,
    val staleOrders: Long,
    val restarts: Long,
)
