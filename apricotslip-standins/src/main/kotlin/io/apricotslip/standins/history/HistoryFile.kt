package io.apricotslip.standins.history

import io.apricotslip.api.history.HistoryEvent
import kotlinx.serialization.json.Json
import org.tinylog.kotlin.Logger
import java.io.FileOutputStream
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.LinkedBlockingQueue
import kotlin.concurrent.thread

private const val MAX_LINES_PER_WRITE = 256

/**
 * Appends events to a file as JSON lines from its own thread. Whole lines go to the system in one write, as soon as
 * the thread is free, so that a killed process loses little and several processes may share a file.
 */
internal class HistoryFile private constructor(private val file: String) : History {
    private val json = Json { explicitNulls = false }
    private val waiting = LinkedBlockingQueue<HistoryEvent>()
    private val output = FileOutputStream(file, true)

    init {
        thread(isDaemon = true, name = "history", block = ::writeForever)
    }

    override fun record(event: HistoryEvent) {
        waiting.add(event)
    }

    private fun writeForever() {
        try {
            while (true) writeNext()
        } catch (e: IOException) {
            Logger.error { "event=history_failed step=append peer=$file reason=\"${e.message}\"" }
        }
    }

    private fun writeNext() {
        val events = mutableListOf(waiting.take())
        waiting.drainTo(events, MAX_LINES_PER_WRITE - 1)
        val lines = events.joinToString("") { json.encodeToString(HistoryEvent.serializer(), it) + "\n" }
        output.write(lines.toByteArray())
    }

    companion object {
        private val files = ConcurrentHashMap<String, HistoryFile>()

        /** The file at [path]; stand-ins of one process share it. */
        fun open(path: String): HistoryFile = files.computeIfAbsent(path, ::HistoryFile)
    }
}
