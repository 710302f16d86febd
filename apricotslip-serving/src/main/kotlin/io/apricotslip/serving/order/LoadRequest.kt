package io.apricotslip.serving.order

import io.apricotslip.serving.fleet.ServedAdapter

/**
 * A request's wish for an adapter at an engine; times are those of the node that gives the orders.
 *
 * @property minVersion oldest version that serves the request.
 * @property dueAt time at which the adapter must be in place for an answer within the objective.
 * @property expiresAt time after which the request does not wait any more.
 */
public data class LoadRequest(
    public val adapter: ServedAdapter,
    public val minVersion: Long,
    public val dueAt: Long,
    public val expiresAt: Long,
) {
    public companion object {
        /**
         * The order in which loads start at [now] when each takes [loadMillis]: first those that can still be in time,
         * the most urgent ahead; then those that are late anyway.
         *
         * The load that it answers: demand moves to other adapters and more are wanted than the store delivers. Without
         * the order every request waits behind those that are late already.
         */
        public fun byUrgency(now: Long, loadMillis: Double): Comparator<LoadRequest> =
            compareBy({ it.dueAt < now + loadMillis * MARGIN }, { it.dueAt })

        /** Loads take longer than expected when nodes start some at the same moment. */
        private const val MARGIN = 1.1
    }
}
