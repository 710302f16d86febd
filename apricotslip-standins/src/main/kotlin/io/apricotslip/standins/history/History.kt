package io.apricotslip.standins.history

import io.apricotslip.api.history.HistoryEvent
import kotlinx.serialization.json.Json
import org.tinylog.kotlin.Logger
import java.io.BufferedWriter
import java.io.FileWriter
import java.io.IOException
import java.util.concurrent.LinkedBlockingQueue
import kotlin.concurrent.thread

/** Records what truly happened at a stand-in. */
internal fun interface History {
    /** Records [event]; returns at once. */
    fun record(event: HistoryEvent)

    companion object {
        /** Appends to [file], or records nothing without one. */
        fun of(file: String?): History = if (file == null) History {} else HistoryFile(file)
    }
}

/** Appends events to a file as JSON lines from its own thread, flushing whenever nothing more waits. */
private class HistoryFile(private val file: String) : History {
    private val json = Json { explicitNulls = false }
    private val waiting = LinkedBlockingQueue<HistoryEvent>()
    private val writer = BufferedWriter(FileWriter(file, true))

    init {
        thread(isDaemon = true, name = "history") { writeForever() }
    }

    override fun record(event: HistoryEvent) {
        waiting.add(event)
    }

    private fun writeForever() {
        try {
            while (true) writeUntilEmpty(waiting.take())
        } catch (e: IOException) {
            Logger.error { "event=history_failed step=append peer=$file reason=\"${e.message}\"" }
        }
    }

    private fun writeUntilEmpty(first: HistoryEvent) {
        var event: HistoryEvent? = first
        while (event != null) {
            writer.write(json.encodeToString(HistoryEvent.serializer(), event))
            writer.newLine()
            event = waiting.poll()
        }
        writer.flush()
    }
}
