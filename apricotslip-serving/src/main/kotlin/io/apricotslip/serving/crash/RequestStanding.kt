package io.apricotslip.serving.crash

/** Whether a request may be sent to a server. */
public sealed class RequestStanding {
    /** No trait of the request is suspected. */
    public data object Clear : RequestStanding()

    /** A trait is suspected; whether it is the cause of crashes is known after [millis]. */
    public data class Suspended(public val millis: Long) : RequestStanding()

    /** A trait crashes servers; it may be tried again after [millis]. */
    public data class Quarantined(public val millis: Long) : RequestStanding()
}
