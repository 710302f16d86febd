package io.apricotslip.standins.history

import io.apricotslip.api.history.HistoryEvent

/** Log of the events that took place at a stand-in, as ground truth for checkers. */
internal fun interface History {
    /** Records [event] without blocking. */
    fun record(event: HistoryEvent)

    companion object {
        /** Returns a history that appends to [file], or one that records nothing if it is null. */
        fun of(file: String?): History = if (file == null) History {} else HistoryFile.open(file)
    }
}
