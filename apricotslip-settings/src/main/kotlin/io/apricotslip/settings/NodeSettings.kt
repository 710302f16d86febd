package io.apricotslip.settings

import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Settings of a node. Every key but those of [vm], [peers] ports and [platform] has a default. */
@Serializable
public data class NodeSettings(
    public val vm: VmSettings,
    public val callers: CallerSettings,
    public val operators: OperatorSettings,
    public val peers: PeerSettings,
    public val platform: PlatformSettings,
    public val limits: LimitSettings = LimitSettings(),
    public val policy: PolicySettings = PolicySettings(),
    public val reservations: ReservationSettings = ReservationSettings(),
    public val stop: StopSettings = StopSettings(),
    public val traces: TraceSettings = TraceSettings(),
    public val history: HistorySettings = HistorySettings(),
    public val logs: LogSettings = LogSettings(),
)

/** Who this process is. [address] is the IP number that the other nodes use. */
@Serializable
public data class VmSettings(public val id: VmId, public val zone: ZoneId, public val address: String)

/** Port for callers. */
@Serializable
public data class CallerSettings(
    public val address: String,
    public val port: Int,
    public val maxHeaderBytes: Int = 16_384,
    public val maxBodyBytes: Int = 1_048_576,
    public val maxConcurrent: Int = 4_096,
    public val idleMillis: Long = 60_000,
    public val defaultDeadlineMillis: Long = 30_000,
    public val maxDeadlineMillis: Long = 600_000,
)

/** Port for operators. [keys] are bearer tokens; without keys only loopback addresses are answered. */
@Serializable
public data class OperatorSettings(
    public val port: Int,
    public val address: String = "127.0.0.1",
    public val keys: List<String> = emptyList(),
)

/** Protocol between nodes. */
@Serializable
public data class PeerSettings(
    public val port: Int,
    public val heartbeatMillis: Long = 500,
    public val silentMillis: Long = 2_000,
    public val leaseMillis: Long = 3_000,
    public val reconnectMillis: Long = 200,
    public val maxFrameBytes: Int = 4_194_304,
    public val maxQueuedBytes: Int = 16_777_216,
    public val streamWindowTokens: Int = 256,
    public val resumeMillis: Long = 10_000,
)

/** Address of one service of the platform. */
@Serializable
public data class PlatformAddress(public val address: String, public val port: Int)

/** What the platform publishes. */
@Serializable
public data class PlatformSettings(
    public val configuration: PlatformAddress,
    public val vms: PlatformAddress,
    public val manifestKey: String = "manifest",
    public val watchMillis: Long = 20_000,
    public val timeoutMillis: Long = 2_000,
    public val retryMillis: Long = 500,
    public val maxRetryMillis: Long = 10_000,
)

/** Limits on callers. */
@Serializable
public data class LimitSettings(
    public val perCustomer: Int = 256,
    public val interactive: Int = 2_048,
    public val plan: Int = 1_024,
    public val deferrable: Int = 4_096,
    public val queuePerEngine: Int = 1_024,
    public val retriesPerRequest: Int = 3,
    public val retryBudgetRatio: Double = 0.1,
)

/** What the deployment weighs more. */
@Serializable
public enum class Goal {
    /** Short waits for adapters. */
    @SerialName("load-stalls")
    LOAD_STALLS,

    /** Full batches. */
    @SerialName("batch-efficiency")
    BATCH_EFFICIENCY,
}

/** Decisions under load. */
@Serializable
public data class PolicySettings(
    public val goal: Goal = Goal.LOAD_STALLS,
    public val candidates: Int = 3,
    public val popularityHalfLifeMillis: Long = 60_000,
    public val deferrableMaxWaitMillis: Long = 600_000,
    public val loadBackoffMillis: Long = 500,
    public val maxLoadBackoffMillis: Long = 15_000,
)

/** Reservations and other calls that may not be repeated. */
@Serializable
public data class ReservationSettings(
    public val clockSkewMillis: Long = 2_000,
    public val retentionMillis: Long = 600_000,
    public val timeoutMillis: Long = 10_000,
)

/** Planned stop. */
@Serializable
public data class StopSettings(public val graceMillis: Long = 30_000, public val announceMillis: Long = 1_000)

/** Traces; without [otlpEndpoint] spans are made but not exported. */
@Serializable
public data class TraceSettings(public val otlpEndpoint: String? = null, public val sampleRatio: Double = 1.0)

/** History for the checkers of the tests; without [file] nothing is recorded. */
@Serializable
public data class HistorySettings(public val file: String? = null)

/** Logs. */
@Serializable
public data class LogSettings(public val level: String = "info")
