package io.apricotslip.serving.room

import io.apricotslip.api.id.WorkspaceId
import io.apricotslip.serving.workspace.RequestRank
import kotlin.math.exp

/**
 * Which workspaces of a rank started more than their part of the requests lately.
 *
 * Counts decay with [MEMORY_MILLIS], so that an idle workspace saves nothing up and a busy one is forgiven.
 */
internal class WorkspaceStarts {
    private class Count(val weight: Double, var value: Double, var at: Long) {
        fun at(now: Long) = value * exp((at - now) / MEMORY_MILLIS)
    }

    private val counts = HashMap<RequestRank, HashMap<WorkspaceId, Count>>()

    /** Counts a request of [workspace] that was sent at [now]. */
    fun record(rank: RequestRank, workspace: WorkspaceId, weight: Double, now: Long) {
        val ofRank = counts.getOrPut(rank) { HashMap() }
        val value = (ofRank[workspace]?.at(now) ?: 0.0) + 1
        ofRank[workspace] = Count(weight, value, now)
        if (ofRank.size > MAX_WORKSPACES) ofRank.values.removeIf { it.at(now) < FORGOTTEN }
    }

    /**
     * Whether [workspace] started more than its part, by weight, of what its rank started. The workspaces of [waiting],
     * with their weights, have a part also if none of their requests started.
     */
    fun exceedsPart(
        rank: RequestRank,
        workspace: WorkspaceId,
        now: Long,
        waiting: Map<WorkspaceId, Double> = emptyMap(),
    ): Boolean {
        val active = counts[rank]?.filterValues { it.at(now) >= FORGOTTEN } ?: return false
        val own = active[workspace] ?: return false
        if (own.at(now) < MIN_STARTS) return false
        val all = active.values.sumOf { it.at(now) }
        val weights = active.values.sumOf { it.weight } + waiting.filterKeys { it !in active }.values.sum()
        return own.at(now) / own.weight > TOLERANCE * all / weights
    }

    private companion object {
        const val MEMORY_MILLIS = 8_000.0

        /** Less than one request within the memory: the workspace has no demand. */
        const val FORGOTTEN = 0.3

        /** Counts of so few requests vary more than parts differ. */
        const val MIN_STARTS = 4.0

        /** Random arrivals exceed their mean this far now and then. */
        const val TOLERANCE = 1.2
        const val MAX_WORKSPACES = 256
    }
}
