package io.apricotslip.rules.placement

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.api.work.WorkClass

/** A request to be placed. */
public data class PlacementRequest(
    public val adapter: AdapterVersion,
    public val workClass: WorkClass,
    public val maxTokens: Int,
    public val prefixHash: Long = 0,
)

/** Chooses engines for a request at the entry VM. Pure. */
public interface Placement {
    /** Learns the status that the owner of an engine told. */
    public fun updateStatus(status: EngineStatus, now: Long)

    /** Forgets what was learned of [server], for its owner is unreachable. */
    public fun removeEngine(server: BackendServerId)

    /** [engines] in the order in which to try them; the caller leaves out those that take no new work. */
    public fun rank(request: PlacementRequest, engines: List<EngineEntry>, now: Long): List<BackendServerId>

    /** A request was sent to [server]; counted until its status shows it. */
    public fun recordSent(adapter: AdapterVersion, server: BackendServerId, now: Long)
}
