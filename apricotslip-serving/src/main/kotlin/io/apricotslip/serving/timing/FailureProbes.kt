package io.apricotslip.serving.timing

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.limit.TrafficShare
import kotlin.math.exp
import kotlin.random.Random

/**
 * Chooses the requests that are sent to a failing server to see whether it has recovered: about one per second from the
 * whole fleet, and more once it has answered without a failure.
 *
 * Workload: 106 nodes of which none sends a failing server enough to see it recover. Each draws by its share of the
 * fleet's requests, so that the nodes need no agreement.
 */
public class FailureProbes(private val random: Random = Random.Default) {
    private val drawnAt = HashMap<BackendServerId, Long>()

    /** The failing one of [servers] that is to get the next request of this node at [now]; null for none. */
    public fun due(servers: List<Server>, share: TrafficShare, now: Long): Server? {
        val failing = servers.filter { it.fleetTiming?.failing == true }
        servers.forEach { if (it !in failing) drawnAt.remove(it.id) }
        return failing.firstOrNull { isDue(it, share, now) }
    }

    private fun isDue(server: Server, share: TrafficShare, now: Long): Boolean {
        val before = drawnAt.put(server.id, now) ?: return false
        val sums = server.fleetTiming?.sums ?: return false
        val sound = sums.responses - sums.failures * SOUND_PER_FAILURE - 1
        val perSecond = PER_SECOND + maxOf(0, sound) * GROWTH_PER_SUCCESS
        val seconds = minOf(now - before, MAX_INTERVAL_MILLIS) / MILLIS_PER_SECOND
        return random.nextDouble() < 1 - exp(-perSecond * share.fraction * seconds)
    }

    private companion object {
        const val PER_SECOND = 1.0

        /** A server that recovers must have five responses within about a second of its first good ones. */
        const val GROWTH_PER_SUCCESS = 4.0

        /** A server that fails every third request has not recovered, nor one that has answered a single one. */
        const val SOUND_PER_FAILURE = 3

        /** Several times the interval at which a node of 300 has a request for an adapter that the server holds. */
        const val MAX_INTERVAL_MILLIS = 20_000L
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
