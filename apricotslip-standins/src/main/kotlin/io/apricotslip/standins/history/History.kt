package io.apricotslip.standins.history

import io.apricotslip.api.history.HistoryEvent

/** Records what truly happened at a stand-in. */
internal fun interface History {
    /** Records [event]; returns at once. */
    fun record(event: HistoryEvent)

    companion object {
        /** Appends to [file], or records nothing without one. */
        fun of(file: String?): History = if (file == null) History {} else HistoryFile.open(file)
    }
}
