package io.apricotslip.gateway.caller

/** Takes the requests of callers. */
public fun interface CallerHandler {
    /** Takes [request], which is answered through [response]; returns who is told that the caller left. */
    public fun handle(request: CallerRequest, response: CallerResponse): CallerListener
}
