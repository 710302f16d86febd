package io.apricotslip.serving.room

import io.apricotslip.api.id.WorkspaceId
import io.apricotslip.serving.workspace.RequestRank

/**
 * What decides when a request that needs a place at a server gets one. Times are in milliseconds of the node's clock.
 *
 * @property rank rank of its workspace and its route.
 * @property workspace the workspace that sent it; null when it belongs to none.
 * @property weight part of the capacity that the workspace has, relative to the others of its rank.
 * @property returning whether an earlier attempt was refused and the caller returned when it was told to.
 * @property startBy latest time at which it can be sent and still be answered within its latency objective.
 * @property bytes memory that the request occupies while it waits.
 */
public data class RoomRequest(
    public val rank: RequestRank,
    public val workspace: WorkspaceId? = null,
    public val weight: Double = 1.0,
    public val returning: Boolean = false,
    public val startBy: Long,
    public val bytes: Int = 0,
)
