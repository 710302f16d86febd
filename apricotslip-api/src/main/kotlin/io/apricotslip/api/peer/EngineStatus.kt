package io.apricotslip.api.peer

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import kotlinx.serialization.Serializable

/** Use of one resident adapter, as counted by the owner of the engine. */
@Serializable
public data class AdapterUse(public val adapter: AdapterVersion, public val running: Int, public val waiting: Int)

/**
 * What the owner of an engine tells the other nodes, so that entry VMs choose well. A hint: never a ground for safety.
 *
 * @property tokensPerSecond learned decoding speed of the whole engine at full batch, in tokens per second.
 * @property waiting requests queued at the owner.
 * @property waitingLoads distinct adapters that wait for a load.
 * @property evictable whether the owner can evict now.
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
