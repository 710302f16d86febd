package io.apricotslip.serving.state

import io.apricotslip.api.id.ServiceId

/** The routes, services and limits that the operators want in force; a higher [version] is newer. */
public data class DesiredState(
    public val version: Long,
    public val routes: List<Route>,
    public val services: Map<ServiceId, ServiceSpec>,
    public val limits: CallerLimits,
) {
    private val routesByHost = routes.groupBy {
        it.host
    }.mapValues { (_, all) -> all.sortedByDescending { it.prefix.length } }

    /** The route of [host] with the longest prefix of [path], or null. */
    public fun route(host: String, path: String): Route? =
        routesByHost[host]?.firstOrNull { path.startsWith(it.prefix) }
}
