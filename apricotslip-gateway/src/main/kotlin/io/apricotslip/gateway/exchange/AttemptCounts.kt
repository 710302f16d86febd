package io.apricotslip.gateway.exchange

/** What was done for one request so far; [takenUp] if it goes on with a stream that an earlier attempt began. */
internal class AttemptCounts(private val takenUp: Boolean = false) {
    /** Times that the request was sent to a server. */
    var dispatches = 0

    /** Times that a server executed the request, or may have. */
    var executions = 0

    /** Times that the load of an adapter was requested for it. */
    var loadRequests = 0

    /** Whether the request waited because it was suspected of crashing servers. */
    var suspended = false

    /** Whether no more loads are requested for the request. */
    val loadsExhausted: Boolean
        get() = loadRequests >= MAX_LOAD_REQUESTS

    /** Whether the request is not sent again, whatever its route allows. */
    val retriesExhausted: Boolean
        get() = dispatches > MAX_RETRIES

    /** The progress of the request, whose response to the caller has [started] or not. */
    fun progress(started: Boolean): Placement.Progress = when {
        started || executions > 0 -> Placement.Progress.STARTED
        takenUp || suspended || loadRequests > 0 || dispatches > 0 -> Placement.Progress.ACCEPTED
        else -> Placement.Progress.NEW
    }

    private companion object {
        const val MAX_LOAD_REQUESTS = 2
        const val MAX_RETRIES = 4
    }
}
