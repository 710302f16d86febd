package io.apricotslip.backends.http

import io.apricotslip.api.outcome.Certainty
import java.util.concurrent.atomic.AtomicReference

/**
 * One attempt to send a call, which is either started or abandoned, never both. This decides a race between a timeout
 * and the event loop: a call that is reported as not run is never sent afterwards.
 */
internal class Attempt {
    private enum class State { WAITING, STARTED, ABANDONED }

    private val state = AtomicReference(State.WAITING)

    /** Starts the attempt, just before the first byte is sent. Returns false if it is already started or abandoned. */
    fun tryStart(): Boolean = state.compareAndSet(State.WAITING, State.STARTED)

    fun isStarted(): Boolean = state.get() == State.STARTED

    /** Abandons the attempt unless it was started. Returns what is known about whether the call has run. */
    fun abandon(): Certainty {
        state.compareAndSet(State.WAITING, State.ABANDONED)
        return if (isStarted()) Certainty.UNKNOWN else Certainty.NOT_RUN
    }
}

/** The attempt was abandoned before a connection was available. */
internal class AbandonedException : RuntimeException("given up before it was sent")
