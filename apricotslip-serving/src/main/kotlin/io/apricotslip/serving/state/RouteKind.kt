package io.apricotslip.serving.state

/** How often the requests of a route may be executed. */
public enum class RouteKind {
    /** Idempotent: any number of executions has the same effect. */
    REPEATABLE,

    /** Executed at most once per attempt of a caller. */
    AT_MOST_ONCE,

    /** Answered with a stream of events; executed once unless [Route.resumable]. */
    STREAM,
}
