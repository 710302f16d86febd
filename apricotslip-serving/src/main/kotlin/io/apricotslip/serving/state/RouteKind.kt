package io.apricotslip.serving.state

/** How often the requests of a route may run. */
public enum class RouteKind {
    /** Runs any number of times with the same effect. */
    REPEATABLE,

    /** Runs at most once for each attempt of a caller. */
    AT_MOST_ONCE,

    /** Answers with a series of events; runs once unless [Route.resumable]. */
    STREAM,
}
