package io.apricotslip.serving.allowance

import io.apricotslip.api.id.WorkspaceId
import io.apricotslip.api.peer.AllowanceUse
import io.apricotslip.serving.workspace.Workspaces
import kotlin.random.Random

/**
 * Decides at one node which requests are within the allowances of their workspaces, which hold for all nodes together.
 *
 * Workload: workspaces from 2,700 to 300,000 tokens a second at 6 to 300 nodes, with requests of up to 4,000 tokens, so
 * that the part of a node may be far less than a request a second; demand that rises 7.5 times within a moment at all
 * nodes; nodes that get 20 times as many requests as others. Each node computes the bucket of the fleet from the
 * figures of all nodes, which are up to 0.9 s old, and admits the same fraction of requests as all others.
 *
 * @param expectedNodes nodes of the fleet as far as known before any was heard, this one included.
 * @param bound what the rules of the deployment tolerate.
 */
public class WorkspaceAllowances(
    expectedNodes: Int,
    private val bound: AllowanceBound,
    private val random: Random = Random.Default,
) {
    private val size = FleetSize(expectedNodes)
    private var applied: Workspaces? = null
    private val byId = LinkedHashMap<WorkspaceId, WorkspaceAllowance>()

    /** Applies the workspaces of the newest desired state; null when it has none. */
    public fun applyDesired(workspaces: Workspaces?, now: Long) {
        if (workspaces === applied) return
        applied = workspaces
        val limited = workspaces?.all.orEmpty().mapNotNull { workspace ->
            workspace.allowance?.takeIf { it.perSecond > 0 }?.let { workspace.id to it }
        }.toMap()
        byId.keys.retainAll(limited.keys)
        for ((id, allowance) in limited) {
            val known = byId.getOrPut(id) { WorkspaceAllowance(id, allowance, size, bound, random, now) }
            known.change(allowance, now)
        }
    }

    /** Whether [workspace] may send a request that costs [cost] units at [now]; a granted one counts as sent. */
    public fun tryAcquire(workspace: WorkspaceId, cost: Double, now: Long): Admission =
        byId[workspace]?.takeIf { cost > 0 }?.tryAcquire(cost, now) ?: Admission.Granted(Permit.Free)

    /** What workspaces sent to this node within the last second, for the report; without those that sent nothing. */
    public fun ownUse(now: Long): List<AllowanceUse> = byId.values.mapNotNull { it.ownUse(now) }

    /** Applies what workspaces sent to all of [nodes] nodes within the last second, this node included. */
    public fun applyFleet(totals: List<AllowanceUse>, nodes: Int, now: Long) {
        size.record(nodes, now)
        val totalById = totals.associateBy { it.workspace }
        for ((id, allowance) in byId) allowance.applyFleet(totalById[id], now)
    }
}
