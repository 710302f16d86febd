package io.apricotslip.serving.room

import io.apricotslip.serving.limit.TrafficShare
import kotlin.math.max

/**
 * The part of the fleet's requests for one service that this node receives.
 *
 * Workload: nodes whose requests are for other services than those of their peers. Reports carry the requests of all
 * services together and the work in progress at each server. Work in progress divided by the time that a request is in
 * progress is the rate of a service, so the fleet's mix of services follows from it. A node's share of a service is its
 * share of all requests, times its own fraction for that service, divided by the fleet's.
 *
 * Refused requests are in no work in progress: a service that has more than it can serve looks smaller than it is where
 * other services have room, and its shares larger, by that factor at most. With one service, nothing changes.
 */
public object ServiceShare {
    /**
     * What a node knows of one service.
     *
     * @property arrivalsPerSecond requests that it received for it.
     * @property running requests of all nodes that are in progress, as a mean of the last seconds.
     * @property holdMillis how long its own requests are in progress; null if it had none.
     */
    public class Load(
        public val arrivalsPerSecond: Double,
        public val running: Double,
        public val holdMillis: Double?,
    ) {
        /** Requests of all nodes that are sent; null if that is not known. */
        internal val fleetPerSecond: Double?
            get() = holdMillis?.let { running * MILLIS_PER_SECOND / max(1.0, it) }
    }

    /**
     * The share of [service], one of the [services] of the desired state, for a node that has the share [overall] of
     * all requests and receives [requestsPerSecond] itself.
     */
    public fun of(
        service: Load,
        services: Collection<Load>,
        overall: TrafficShare,
        requestsPerSecond: Double,
    ): TrafficShare {
        val arrivals = services.sumOf { it.arrivalsPerSecond }
        val inFleet = service.fleetPerSecond ?: return overall
        if (arrivals == 0.0 || inFleet == 0.0 || overall.fraction == 0.0) return overall
        // Work of services of which this node got no request tells no rate: they have what the others leave.
        val allKnown = services.all { it.running == 0.0 || it.holdMillis != null }
        val known = services.sumOf { it.fleetPerSecond ?: 0.0 }
        val all = if (allKnown) known else max(known, requestsPerSecond / overall.fraction)
        val fraction = overall.fraction * (service.arrivalsPerSecond / arrivals) / (inFleet / all)
        return overall.copy(fraction = fraction.coerceIn(0.0, 1.0))
    }

    private const val MILLIS_PER_SECOND = 1_000.0
}
