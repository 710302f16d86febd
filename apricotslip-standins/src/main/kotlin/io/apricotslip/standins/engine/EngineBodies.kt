package io.apricotslip.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Body of a completion request. */
@Serializable
internal data class CompletionBody(
    @SerialName("request_id") val requestId: String,
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int,
    val priority: Int = 0,
    val stream: Boolean = true,
)

/** Event data for one token. */
@Serializable
internal data class TokenEvent(
    val id: String,
    val offset: Int,
    val text: String,
    val adapter: String,
    val version: String,
)

/** Event data at the end of a complete answer; `[DONE]` follows it. */
@Serializable
internal data class EndEvent(
    val id: String,
    val finish: String,
    val total: Int,
    val adapter: String,
    val version: String,
)

/** Event data at the end of a broken stream. */
@Serializable
internal data class ErrorEvent(val id: String, val error: String)

/** Body of an order to load or evict an adapter version. */
@Serializable
internal data class OrderBody(val adapter: String, val version: String, val fence: Long)

/** Response body for an executed order. */
@Serializable
internal data class SequenceBody(val sequence: Long)

/** State of an adapter slot in a report. */
@Serializable
internal enum class SlotState {
    @SerialName("resident")
    RESIDENT,

    @SerialName("loading")
    LOADING,
}

/** One adapter in a report; [running] counts the running and queued requests on it. */
@Serializable
internal data class ReportedSlot(val adapter: String, val version: String, val running: Int, val state: SlotState)

/** Report of the engine state at one [sequence] number. */
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

/** A prefix was stored in the cache or removed. [prefix] is a hash of the adapter and the text up to its end. */
@Serializable
internal data class CacheEvent(val number: Long, val kind: CacheEventKind, val prefix: String)

/** Cache events after a given event number. */
@Serializable
internal data class CacheEvents(val events: List<CacheEvent>)

/** State of an engine in the admin API. */
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
