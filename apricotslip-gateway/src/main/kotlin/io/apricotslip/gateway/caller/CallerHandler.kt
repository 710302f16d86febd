package io.apricotslip.gateway.caller

/** Takes the requests of callers. */
public fun interface CallerHandler {
    /** Takes [request], which is answered through [answer]; returns who is told that the caller left. */
    public fun begin(request: CallerRequest, answer: CallerAnswer): CallerWatcher
}
