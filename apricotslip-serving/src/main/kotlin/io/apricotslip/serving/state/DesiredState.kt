package io.apricotslip.serving.state

import io.apricotslip.api.id.ServiceId
import io.apricotslip.serving.workspace.RankScale
import io.apricotslip.serving.workspace.Workspaces

/**
 * The routes, services, limits and workspaces that the operators want in force; a higher [version] is newer.
 *
 * @property workspaces the workspaces that may send requests; null when requests need no key.
 */
public data class DesiredState(
    public val version: Long,
    public val routes: List<Route>,
    public val services: Map<ServiceId, ServiceSpec>,
    public val limits: CallerLimits,
    public val workspaces: Workspaces? = null,
) {
    private val routesByHost = routes.groupBy {
        it.host
    }.mapValues { (_, all) -> all.sortedByDescending { it.prefix.length } }

    /** Ranks requests by the priorities of the workspaces and of the routes that lead to engines. */
    public val ranks: RankScale = RankScale(
        workspacePriorities = workspaces?.all.orEmpty().map { it.priority },
        routePriorities = routes.filter { route -> route.targets.any { services[it.service]?.engine != null } }
            .map { it.priority },
    )

    /** The route of [host] with the longest prefix of [path], or null. */
    public fun route(host: String, path: String): Route? =
        routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) }
}
