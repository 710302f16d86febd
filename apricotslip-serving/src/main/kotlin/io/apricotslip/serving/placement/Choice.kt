package io.apricotslip.serving.placement

import io.apricotslip.serving.fleet.Server

/** Where a request goes next. */
public sealed class Choice {
    /** To [server] at once; the first event is expected after [estimateMillis]. */
    public data class Send(public val server: Server, public val estimateMillis: Long) : Choice()

    /** To [server], once the adapter is loaded there; [queueMillis] of [estimateMillis] come after the load. */
    public data class Load(public val server: Server, public val estimateMillis: Long, public val queueMillis: Long) :
        Choice()

    /** Nowhere yet: an engine is expected to take the request soon; choose again after [millis]. */
    public data class Wait(public val millis: Long) : Choice()

    /** Nowhere: the caller may come back after [retryAfterMillis]. */
    public data class Refuse(public val reason: Reason, public val retryAfterMillis: Long) : Choice()

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
