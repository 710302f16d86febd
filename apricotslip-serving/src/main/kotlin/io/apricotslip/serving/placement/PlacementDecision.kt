package io.apricotslip.serving.placement

import io.apricotslip.serving.fleet.Server

/** What to do with a request: where it is sent, or why it is not sent now. */
public sealed class PlacementDecision {
    /** Send to [server] at once; the first event is expected after [estimateMillis]. */
    public data class Send(public val server: Server, public val estimateMillis: Long) : PlacementDecision()

    /**
     * Load the adapter at [server], then send there. The first event is expected after [estimateMillis], of which
     * [queueMillis] come after the load.
     */
    public data class LoadAdapter(
        public val server: Server,
        public val estimateMillis: Long,
        public val queueMillis: Long,
    ) : PlacementDecision()

    /** No server can take the request yet, but one is expected to soon; choose again after [millis]. */
    public data class Wait(public val millis: Long) : PlacementDecision()

    /** Refuse the request; the caller may retry after [retryAfterMillis]. */
    public data class Refuse(public val reason: Reason, public val retryAfterMillis: Long) : PlacementDecision() {
        /** Whether this node knows of no server, although others may. */
        public val noServer: Boolean
            get() = reason == Reason.NO_SERVER
    }

    /** Why a request is refused. */
    public enum class Reason {
        /** No backend server of the service is known to be up. */
        NO_SERVER,

        /** No backend server can answer within the time budget. */
        OVERLOADED,

        /** Every backend server that could answer has named a limit, and this node's share of it is used up. */
        LIMITED,

        /** Every backend server that could answer wants no requests of this node for a while. */
        PAUSED,

        /** The adapter is resident at no backend server, and none can load it. */
        NO_PLACE,
    }
}
