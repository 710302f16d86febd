package io.apricotslip.serving.timing

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.peer.ServerTimingUse
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.Server

/**
 * Exchanges the measurements of backend servers with other nodes and applies their sums to the servers of [fleet];
 * records, sends and applies nothing unless [enabled].
 */
public class FleetTimings(public val enabled: Boolean, private val fleet: Fleet) : TimingExchangeState {
    private var appliedAt = Long.MIN_VALUE / 2

    override fun ownTimings(now: Long): List<ServerTimingUse> {
        if (!enabled) return emptyList()
        return fleet.all.mapNotNull { server ->
            val sums = server.timing.sums(now)
            if (sums.isEmpty) null else sums.toUse(server.id, server.entry.startedAtMillis)
        }
    }

    override fun applyTimings(timings: List<ServerTimingUse>, now: Long) {
        if (!enabled) return
        appliedAt = now
        apply(timings)
    }

    /** The time that servers take for the same work, in relation to the mean of their peers, by server. */
    public fun slowness(): Map<String, Double> =
        fleet.all.mapNotNull { server -> server.fleetTiming?.speed?.let { server.id.value to it.relative } }.toMap()

    /** The share of the responses that failed, by server. */
    public fun failureShares(): Map<String, Double> = fleet.all.mapNotNull { server ->
        server.fleetTiming?.sums?.takeIf { it.responses > 0 }?.let { server.id.value to it.failureShare }
    }.toMap()

    /** Returns to the measurements of this node alone when the sums of the fleet are too old at [now]. */
    public fun tick(now: Long) {
        if (!enabled || now - appliedAt < TTL_MILLIS) return
        fleet.all.forEach { it.applyFleetTiming(null) }
    }

    private fun apply(timings: List<ServerTimingUse>) {
        val byServer = timings.associateBy { it.server }
        for (peers in fleet.all.groupBy { it.entry.service }.values) {
            val sums = peers.associate { it.id to sumsOf(it, byServer) }
            val estimates = SpeedEstimates(sums.values.fold(TimingSums(), TimingSums::plus))
            for (server in peers) {
                val own = sums.getValue(server.id)
                server.applyFleetTiming(FleetTiming(own, estimates.of(own), failing(server, own)))
            }
        }
    }

    private fun sumsOf(server: Server, byServer: Map<BackendServerId, ServerTimingUse>): TimingSums =
        byServer[server.id]?.takeIf { it.startedAtMillis == server.entry.startedAtMillis }?.let(TimingSums::of)
            ?: TimingSums()

    /** Whether [server] fails; while that cannot be told it is what it was before. */
    private fun failing(server: Server, sums: TimingSums): Boolean? =
        if (sums.responses < MIN_RESPONSES) server.fleetTiming?.failing else sums.failureShare >= FAILING_SHARE

    private companion object {
        /** Several reports and digests. */
        const val TTL_MILLIS = 2_000L
        const val MIN_RESPONSES = 5

        /** Above the share of failed responses that sound application servers give (0.14). */
        const val FAILING_SHARE = 0.3
    }
}
