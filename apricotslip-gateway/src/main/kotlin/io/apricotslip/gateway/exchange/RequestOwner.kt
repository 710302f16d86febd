package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.WorkspaceId
import io.apricotslip.serving.state.DesiredState
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.workspace.Identity
import io.apricotslip.serving.workspace.RequestRank
import io.apricotslip.serving.workspace.Workspace

/**
 * To whom a request belongs and how urgent it is, by the desired state that was in force when it was admitted. A later
 * state does not change it.
 *
 * @property identity null when that state had no workspaces, so that no key was checked.
 * @property enginePriority priority in an engine's queue, from 0 (first) to 9 (last).
 */
internal class RequestOwner(val identity: Identity?, val rank: RequestRank, val enginePriority: Int) {
    /** The workspace of the request; null when it has none, or none is known. */
    val workspace: Workspace?
        get() = (identity as? Identity.Known)?.workspace

    val workspaceId: WorkspaceId?
        get() = workspace?.id

    /** For the log; empty when no key was checked. */
    override fun toString(): String = if (identity == null) "" else " workspace=$workspaceId"

    companion object {
        /** Of a request that was not admitted yet. */
        val Unchecked = RequestOwner(identity = null, RequestRank(0, 0), enginePriority = 0)

        /** The owner of a request that was admitted for [route] of [state] with [identity]. */
        fun of(identity: Identity?, route: Route, state: DesiredState): RequestOwner {
            val workspace = (identity as? Identity.Known)?.workspace
            val rank = state.ranks.rank(workspace?.priority, route.priority)
            return RequestOwner(identity, rank, state.ranks.enginePriority(rank))
        }
    }
}
