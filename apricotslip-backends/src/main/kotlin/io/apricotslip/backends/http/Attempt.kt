package io.apricotslip.backends.http

import io.apricotslip.api.outcome.Certainty
import java.util.concurrent.atomic.AtomicReference

/**
 * One attempt to send a call, which either starts or is given up, never both. A timeout that races with the event
 * loop is thereby told truthfully.
 */
internal class Attempt {
    private enum class State { WAITING, STARTED, GIVEN_UP }

    private val state = AtomicReference(State.WAITING)

    /** Whether the call may be sent now; called once, just before the first byte. */
    fun start(): Boolean = state.compareAndSet(State.WAITING, State.STARTED)

    /** Whether the call was started. */
    fun started(): Boolean = state.get() == State.STARTED

    /** Ends the attempt; a call that was not started never will be. */
    fun giveUp(): Certainty {
        state.compareAndSet(State.WAITING, State.GIVEN_UP)
        return if (started()) Certainty.UNKNOWN else Certainty.NOT_RUN
    }
}

/** The attempt was given up before the connection was there. */
internal class GivenUpException : RuntimeException("given up before it was sent")
