package io.apricotslip.serving.placement

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.serving.fleet.Server

/** Chooses the plain backend server with the smallest share of its slots taken; the nearest among equals. */
public class PlainServerSelector(private val zone: ZoneId) {
    /** Chooses among [servers], which are usable, without those of [excluded] unless no other is left. */
    public fun choose(servers: List<Server>, excluded: Set<BackendServerId>, now: Long): PlacementDecision {
        val fresh = servers.filter { it.id !in excluded }
        val sound = fresh.filterNot { it.health.degraded }.ifEmpty { fresh }
        val best = sound.minByOrNull { cost(it, now) }
            ?: return PlacementDecision.Refuse(PlacementDecision.Reason.NO_SERVER, NO_SERVER_RETRY_MILLIS)
        if (best.totalUtilization(now).running >= best.entry.requestSlots * FULL) {
            return PlacementDecision.Refuse(PlacementDecision.Reason.OVERLOADED, OVERLOADED_RETRY_MILLIS)
        }
        return PlacementDecision.Send(best, 0)
    }

    private fun cost(server: Server, now: Long): Double {
        val slots = server.entry.requestSlots.coerceAtLeast(1)
        val distance = if (server.entry.zone == zone) 0.0 else OTHER_ZONE_SHARE
        return server.totalUtilization(now).running.toDouble() / slots + distance
    }

    private companion object {
        const val NO_SERVER_RETRY_MILLIS = 400L

        /** A few service times of the deployments' booking services. */
        const val OVERLOADED_RETRY_MILLIS = 250L

        /** Less than one request on six slots: distance decides only between equals. */
        const val OTHER_ZONE_SHARE = 0.1

        /** Requests for each slot, running and queued, beyond which an answer would come too late. */
        const val FULL = 3
    }
}
