package io.apricotslip.rules.placement

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.api.work.WorkClass

/**
 * The properties of a request that decide its placement.
 *
 * @property prefixHash hash of the start of the prompt.
 */
public data class PlacementRequest(
    public val adapter: AdapterVersion,
    public val workClass: WorkClass,
    public val maxTokens: Int,
    public val prefixHash: Long = 0,
)

/**
 * Selects engines for requests at an entry VM. Implementations read no clock and do no I/O. Times are nanoseconds.
 */
public interface Placement {
    /** Records a status that the owner of an engine reported. */
    public fun updateStatus(status: EngineStatus, now: Long)

    /** Discards everything recorded about [server], whose owner is unreachable. */
    public fun removeEngine(server: BackendServerId)

    /** Returns [engines] in the order in which to try them. The caller excludes engines that take no new requests. */
    public fun rank(request: PlacementRequest, engines: List<EngineEntry>, now: Long): List<BackendServerId>

    /** Records that a request was sent to [server]; it is counted until a status includes it. */
    public fun recordSent(adapter: AdapterVersion, server: BackendServerId, now: Long)
}
