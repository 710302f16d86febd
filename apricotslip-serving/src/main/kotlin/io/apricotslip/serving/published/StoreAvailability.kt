package io.apricotslip.serving.published

/**
 * Tells a store that was away from a call that failed.
 *
 * The store may cut a watch that waits, and a connection may be reset, while it serves all other calls: nothing is
 * missed then, and what is read next holds at once. While the store is away, entries of servers that live may lapse. So
 * a call that ended is only a doubt, which the next call decides: a store that answers it at once was not away. A call
 * that had no answer in its time tells more, since the store may have been away for as long.
 */
public class StoreAvailability {
    /** What is believed of the store. */
    public enum class State {
        AVAILABLE,

        /** One or two calls ended without an answer; the next one decides. */
        DOUBTFUL,
        AWAY,
    }

    /** How a call failed. */
    public enum class Failure {
        /** The connection could not be opened, was closed or reset, or the answer cannot be used. */
        ENDED,

        /** No answer came in the time for it. */
        TIMED_OUT,

        /** The store answered that there are too many calls. */
        TOO_MANY_CALLS,
    }

    public var state: State = State.AVAILABLE
        private set

    /** Number of failures since the last answer that could be used. */
    public var failures: Int = 0
        private set

    private var ended = 0

    /** Records a failed call; returns whether the store counts as away since then. */
    public fun recordFailure(failure: Failure): Boolean {
        failures++
        ended = if (failure == Failure.ENDED) ended + 1 else 0
        val before = state
        state = when (before) {
            State.AWAY -> State.AWAY
            State.AVAILABLE, State.DOUBTFUL -> when (failure) {
                Failure.TOO_MANY_CALLS -> State.AVAILABLE
                Failure.TIMED_OUT -> State.AWAY
                Failure.ENDED -> if (ended >= ENDED_WHEN_AWAY) State.AWAY else State.DOUBTFUL
            }
        }
        return state == State.AWAY && before != State.AWAY
    }

    /** Records an answer that can be used; returns whether the store was away until then. */
    public fun recordAnswer(): Boolean {
        failures = 0
        ended = 0
        val wasAway = state == State.AWAY
        state = State.AVAILABLE
        return wasAway
    }

    private companion object {
        /** Calls in a row that end without an answer, so that two cuts in a row are not taken for an outage. */
        const val ENDED_WHEN_AWAY = 3
    }
}
