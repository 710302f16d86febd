package io.apricotslip.serving.placement

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.serving.fleet.Server

/**
 * Selects the backend server of a service without engines that has the lowest share of its request slots in use, and
 * among equals one in the same availability zone.
 */
public class PlainServerSelector(private val zone: ZoneId) {
    /**
     * Chooses among [servers], which must be usable, without those of [excluded], and without those of [atLimit] if
     * another one can take the request. With [Candidates.Few] only the requests of this node count, and none is refused
     * because its server is full.
     */
    public fun choose(
        servers: List<Server>,
        excluded: Set<BackendServerId>,
        atLimit: Set<BackendServerId> = emptySet(),
        candidates: Candidates = Candidates.All,
    ): PlacementDecision = PacePreference.choose(excluded, atLimit) { chooseWithout(servers, it, candidates) }

    private fun chooseWithout(
        servers: List<Server>,
        excluded: Set<BackendServerId>,
        candidates: Candidates,
    ): PlacementDecision {
        val open = servers.filter { it.id !in excluded }
        val healthy = open.filterNot { it.degraded }.ifEmpty { open }
        if (candidates is Candidates.Few) {
            val least = candidates.shuffled(healthy).minByOrNull { cost(it, it.localUtilization.running) }
            return least?.let { PlacementDecision.Send(it, 0) } ?: noServer()
        }
        val best = leastOf(healthy) ?: return noServer()
        if (!isFull(best)) return PlacementDecision.Send(best, 0)
        // No request is refused because a server fails at times.
        val failing = open.filter { it.fleetTiming?.failing == true && !isFull(it) }
        val other = leastOf(failing)
            ?: return PlacementDecision.Refuse(PlacementDecision.Reason.OVERLOADED, OVERLOADED_RETRY_MILLIS)
        return PlacementDecision.Send(other, 0)
    }

    private fun leastOf(servers: List<Server>): Server? = servers.minByOrNull {
        val distance = if (it.entry.zone == zone) 0.0 else CROSS_ZONE_SHARE
        cost(it, it.totalUtilization().running) + distance
    }

    private fun noServer() = PlacementDecision.Refuse(PlacementDecision.Reason.NO_SERVER, NO_SERVER_RETRY_MILLIS)

    private fun isFull(server: Server) =
        server.totalUtilization().running >= server.entry.requestSlots * MAX_REQUESTS_PER_SLOT

    /**
     * The share of the slots that [running] requests use. The measured speed does not count: most nodes have no request
     * at any of a few servers, so all took the fastest one, which then turned requests away.
     */
    private fun cost(server: Server, running: Int): Double =
        running.toDouble() / server.entry.requestSlots.coerceAtLeast(1)

    private companion object {
        const val NO_SERVER_RETRY_MILLIS = 400L

        /** A few service times of the deployments' booking services. */
        const val OVERLOADED_RETRY_MILLIS = 250L

        /** Less than one request on six slots: distance decides only between equals. */
        const val CROSS_ZONE_SHARE = 0.1

        /** Requests per slot, running and queued, beyond which an answer would come too late. */
        const val MAX_REQUESTS_PER_SLOT = 3
    }
}
