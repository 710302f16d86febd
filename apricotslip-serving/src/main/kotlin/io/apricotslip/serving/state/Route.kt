package io.apricotslip.serving.state

import io.apricotslip.api.id.ServiceId

/**
 * A route of the desired state.
 *
 * @property prefix start of the paths of this route; begins and ends with a slash.
 * @property timeoutMillis longest time until the final answer.
 * @property targetLatencyMillis latency objective: time to the whole answer, or to the first event of a stream.
 * @property targetGapMillis longest pause between events that is still on time; 0 for other routes.
 * @property priority rank of the route, 0 is the most urgent.
 * @property targets services that take the requests, with their weights.
 * @property maxAttempts largest number of backend servers that may run one attempt of a caller.
 * @property resumable whether a stream may go on at another backend server after its last event.
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
) {
    /** Whether a request that may have run may be sent again. */
    public val retryable: Boolean
        get() = kind == RouteKind.REPEATABLE || (kind == RouteKind.STREAM && resumable)

    /** A service and its share of the requests of a route. */
    public data class WeightedService(public val service: ServiceId, public val weight: Int)

    /** The service for the point [at] of the weights, from 0.0 until 1.0. */
    public fun serviceAt(at: Double): ServiceId {
        var rest = at * targets.sumOf { it.weight }
        for (target in targets) {
            rest -= target.weight
            if (rest < 0) return target.service
        }
        return targets.last().service
    }
}
