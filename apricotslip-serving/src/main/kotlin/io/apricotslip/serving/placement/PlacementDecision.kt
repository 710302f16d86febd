package io.apricotslip.serving.placement

import io.apricotslip.serving.fleet.Server

/** Where a request goes next. */
public sealed class PlacementDecision {
    /** To [server] at once; the first event is expected after [estimateMillis]. */
    public data class Send(public val server: Server, public val estimateMillis: Long) : PlacementDecision()

    /** To [server], once the adapter is loaded there; [queueMillis] of [estimateMillis] come after the load. */
    public data class LoadAdapter(
        public val server: Server,
        public val estimateMillis: Long,
        public val queueMillis: Long,
    ) : PlacementDecision()

    /** Nowhere yet: an engine is expected to take the request soon; choose again after [millis]. */
    public data class Wait(public val millis: Long) : PlacementDecision()

    /** Nowhere: the caller may come back after [retryAfterMillis]. */
    public data class Refuse(public val reason: Reason, public val retryAfterMillis: Long) : PlacementDecision()

    /** Why a request is refused. */
    public enum class Reason {
        /** No backend server of the service is believed to be up. */
        NO_SERVER,

        /** No backend server can answer in the time that counts. */
        OVERLOADED,

        /** The adapter is on no backend server, and none can take it. */
        NO_PLACE,
    }
}
