package io.apricotslip.serving.state

import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.peer.SeenRoute

/** Since when the routes have led to the services to which they lead now. */
public class RouteHistory {
    private class Targets(val services: Set<ServiceId>, val since: Long)

    private var byRoute = emptyMap<String, Targets>()

    /** Version of the desired state that was recorded last; null before there is one. */
    public var stateVersion: Long? = null
        private set

    /** Records that [state] is in force from [now] on. */
    public fun record(state: DesiredState, now: Long) {
        stateVersion = state.version
        byRoute = state.routes.associate { route ->
            val services = route.targets.mapTo(HashSet()) { it.service }
            route.name to (byRoute[route.name]?.takeIf { it.services == services } ?: Targets(services, now))
        }
    }

    /** Where routes lead, for other nodes. */
    public fun seen(now: Long): List<SeenRoute> =
        byRoute.map { (name, targets) -> SeenRoute(name, targets.services, now - targets.since) }

    /**
     * Takes over at [now] what another node has [seen] by the desired state with [version]. One that has read less than
     * this node may have missed that a route led elsewhere for a while.
     */
    public fun takeOver(version: Long, seen: List<SeenRoute>, now: Long) {
        val own = stateVersion ?: return
        if (version < own) return
        val sinceByRoute = seen.associate { (it.name to it.services) to now - it.ageMillis.coerceAtLeast(0) }
        byRoute = byRoute.mapValues { (name, targets) ->
            val since = sinceByRoute[name to targets.services] ?: targets.since
            if (since < targets.since) Targets(targets.services, since) else targets
        }
    }

    /** The only service to which the route [name] has led for [millis] at [now]; null when there were several. */
    public fun onlyService(name: String, millis: Long, now: Long): ServiceId? =
        byRoute[name]?.takeIf { now - it.since >= millis }?.services?.singleOrNull()
}
