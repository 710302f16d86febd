package io.apricotslip.gateway.observe

import io.apricotslip.api.id.WorkspaceId

/**
 * Labels of workspaces in metrics: the names of the first [maxNames] that appear, and one label for all others, so that
 * the number of time series is bounded.
 */
internal class WorkspaceLabels(private val maxNames: Int = MAX_NAMES) {
    private val names = HashSet<WorkspaceId>()

    /** The label of [workspace]. */
    @Synchronized
    fun of(workspace: WorkspaceId): String {
        if (workspace !in names && names.size < maxNames) names.add(workspace)
        return if (workspace in names) workspace.value else OTHER
    }

    private companion object {
        const val MAX_NAMES = 64
        const val OTHER = "other"
    }
}
