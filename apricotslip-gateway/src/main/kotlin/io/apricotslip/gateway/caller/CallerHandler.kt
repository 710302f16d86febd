package io.apricotslip.gateway.caller

/** Handles the requests of callers. */
public fun interface CallerHandler {
    /** Handles [request] and responds through [response]; returns the listener for the caller's connection. */
    public fun handle(request: CallerRequest, response: CallerResponse): CallerListener
}
