package io.apricotslip.api.peer

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import kotlinx.serialization.Serializable

/** Number of requests for one resident adapter, as counted by the owner of the engine. */
@Serializable
public data class AdapterUse(public val adapter: AdapterVersion, public val running: Int, public val waiting: Int)

/**
 * Status of an engine that its owner reports to the other nodes, for the choice of an engine by the entry VMs. It is
 * only a hint; safety never depends on it.
 *
 * @property tokensPerSecond estimated decoding throughput of the whole engine at full batch, in tokens per second.
 * @property waiting requests that are queued at the owner.
 * @property waitingLoads distinct adapters that wait to be loaded.
 * @property evictable whether the owner can evict an adapter now.
 * @property waitingDeferrable how many of [waiting] are deferrable.
 */
@Serializable
public data class EngineStatus(
    public val server: BackendServerId,
    public val slots: Int,
    public val batch: Int,
    public val running: Int,
    public val waiting: Int,
    public val waitingLoads: Int,
    public val freeSlots: Int,
    public val evictable: Boolean,
    public val tokensPerSecond: Double,
    public val adapters: List<AdapterUse>,
    public val waitingDeferrable: Int = 0,
)
