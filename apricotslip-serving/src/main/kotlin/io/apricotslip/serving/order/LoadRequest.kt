package io.apricotslip.serving.order

import io.apricotslip.serving.fleet.ServedAdapter

/**
 * A request for an adapter load at an engine; times are on the clock of the node that gives the orders.
 *
 * @property minVersion oldest version that serves the waiting request.
 * @property dueAt time at which the adapter must be resident for an answer within the latency objective.
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
         * The order in which loads start at [now] when each takes [loadMillis]: first those that can still be on time,
         * the earliest due first; then those that will be late.
         *
         * Designed for this workload: demand shifts to other adapters and more are requested than the weight store
         * delivers. Without this order every request waits behind those that are late already.
         */
        public fun byUrgency(now: Long, loadMillis: Double): Comparator<LoadRequest> =
            compareBy({ it.dueAt < now + loadMillis * LOAD_TIME_MARGIN }, { it.dueAt })

        /** Loads take longer than expected when several nodes start some at the same moment. */
        private const val LOAD_TIME_MARGIN = 1.1
    }
}
