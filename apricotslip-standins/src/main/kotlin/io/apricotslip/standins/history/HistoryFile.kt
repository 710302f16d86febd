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
 * Appends events to a file as JSON lines from a thread of its own. The thread writes as soon as it is free, so that a
 * killed process loses little, and passes complete lines to the operating system in one write, so that several
 * processes can share a file.
 */
internal class HistoryFile private constructor(private val file: String) : History {
    private val json = Json { explicitNulls = false }
    private val pendingEvents = LinkedBlockingQueue<HistoryEvent>()
    private val output = FileOutputStream(file, true)

    init {
        thread(isDaemon = true, name = "history", block = ::writeLoop)
    }

    override fun record(event: HistoryEvent) {
        pendingEvents.add(event)
    }

    private fun writeLoop() {
        try {
            while (true) writePending()
        } catch (e: IOException) {
            Logger.error { "event=history_failed step=append peer=$file reason=\"${e.message}\"" }
        }
    }

    private fun writePending() {
        val events = mutableListOf(pendingEvents.take())
        pendingEvents.drainTo(events, MAX_LINES_PER_WRITE - 1)
        val lines = events.joinToString("") { json.encodeToString(HistoryEvent.serializer(), it) + "\n" }
        output.write(lines.toByteArray())
    }

    companion object {
        private val openFiles = ConcurrentHashMap<String, HistoryFile>()

        /** Opens the file at [path], or returns the instance that a stand-in of this process has opened already. */
        fun open(path: String): HistoryFile = openFiles.computeIfAbsent(path, ::HistoryFile)
    }
}
