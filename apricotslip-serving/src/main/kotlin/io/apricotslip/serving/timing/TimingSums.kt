package io.apricotslip.serving.timing

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.peer.ServerTimingUse

/**
 * What was measured of one incarnation of one server, as sums that can be added over nodes; see [ServerTimingUse] for
 * the parts.
 */
public data class TimingSums(
    public val firstEvents: Int = 0,
    public val tokens: Long = 0,
    public val firstMillis: Long = 0,
    public val gaps: Int = 0,
    public val gapMillis: Long = 0,
    public val gapRunning: Long = 0,
    public val responses: Int = 0,
    public val failures: Int = 0,
    public val overloads: Int = 0,
) {
    /** Whether there are no samples. */
    public val isEmpty: Boolean
        get() = firstEvents == 0 && gaps == 0 && responses == 0

    /** The share of the responses that failed; 0 when there are none. */
    public val failureShare: Double
        get() = if (responses == 0) 0.0 else failures.toDouble() / responses

    internal fun withoutGaps(): TimingSums = copy(gaps = 0, gapMillis = 0, gapRunning = 0)

    public operator fun plus(other: TimingSums): TimingSums = TimingSums(
        firstEvents + other.firstEvents,
        tokens + other.tokens,
        firstMillis + other.firstMillis,
        gaps + other.gaps,
        gapMillis + other.gapMillis,
        gapRunning + other.gapRunning,
        responses + other.responses,
        failures + other.failures,
        overloads + other.overloads,
    )

    /** The wire form of these sums of the incarnation of [server] that started at [startedAtMillis]. */
    public fun toUse(server: BackendServerId, startedAtMillis: Long): ServerTimingUse = ServerTimingUse(
        server,
        startedAtMillis,
        firstEvents,
        tokens,
        firstMillis,
        gaps,
        gapMillis,
        gapRunning,
        responses,
        failures,
        overloads,
    )

    public companion object {
        /** The sums of [use]. */
        public fun of(use: ServerTimingUse): TimingSums = TimingSums(
            use.firstEvents,
            use.tokens,
            use.firstMillis,
            use.gaps,
            use.gapMillis,
            use.gapRunning,
            use.responses,
            use.failures,
            use.overloads,
        )

        /** The sums over nodes, for each incarnation of a server. */
        internal fun sum(usesOfNodes: List<List<ServerTimingUse>>): List<ServerTimingUse> {
            val sums = LinkedHashMap<Pair<BackendServerId, Long>, TimingSums>()
            for (uses in usesOfNodes) {
                for (use in uses) sums.merge(use.server to use.startedAtMillis, of(use), TimingSums::plus)
            }
            return sums.map { (server, total) -> total.toUse(server.first, server.second) }
        }
    }
}
