package io.apricotslip.serving.state

import io.apricotslip.api.id.ServiceId

/**
 * A route of the desired state.
 *
 * @property prefix path prefix of this route; begins and ends with a slash.
 * @property timeoutMillis maximum time until the final answer.
 * @property targetLatencyMillis latency objective: time to the complete answer, or to the first event of a stream.
 * @property targetGapMillis longest gap between events that is still on time; 0 for routes that are not streams.
 * @property priority priority of the route; 0 is the most urgent.
 * @property targets services that receive the requests, with their weights.
 * @property maxAttempts maximum number of backend servers that may execute one attempt of a caller.
 * @property resumable whether a stream may continue at another backend server after the last event that was delivered.
 * @property allowsAnonymous whether requests without a key are served although the desired state has workspaces.
 */
public data class Route(
    public val name: String,
    public val host: String,
    public val prefix: String,
    public val kind: RouteKind,
    public val timeoutMillis: Long,
    public val targetLatencyMillis: Long,
    public val targetGapMillis: Long = 0,
    public val priority: Int = 0,
    public val targets: List<WeightedService>,
    public val maxAttempts: Int = 1,
    public val resumable: Boolean = false,
    public val allowsAnonymous: Boolean = false,
) {
    /** Whether a request that may already have been executed may be sent again. */
    public val retryable: Boolean
        get() = kind == RouteKind.REPEATABLE || (kind == RouteKind.STREAM && resumable)

    /** A service and its weight among the targets of a route. */
    public data class WeightedService(public val service: ServiceId, public val weight: Int)

    /** The service at [point] of the cumulative weights, from 0.0 (inclusive) to 1.0 (exclusive). */
    public fun serviceAt(point: Double): ServiceId {
        var remaining = point * targets.sumOf { it.weight }
        for (target in targets) {
            remaining -= target.weight
            if (remaining < 0) return target.service
        }
        return targets.last().service
    }
}
