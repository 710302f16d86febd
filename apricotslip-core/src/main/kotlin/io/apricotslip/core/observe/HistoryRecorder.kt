package io.apricotslip.core.observe

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.api.id.VmId
import kotlinx.serialization.json.Json
import java.io.BufferedWriter
import java.io.File
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Writes events as JSON lines for the history checkers of the tests, if the settings name a file. */
internal class HistoryRecorder(private val vm: VmId, file: String?) : AutoCloseable {
    private val writer: BufferedWriter? = file?.let { File(it).bufferedWriter() }
    private val executor: ExecutorService? = writer?.let { newWriterExecutor() }

    /** Appends the event that [build] completes, on its own writer thread. Does nothing without a file. */
    fun record(kind: EventKind, build: HistoryEvent.() -> HistoryEvent) {
        val out = writer ?: return
        val event = HistoryEvent(at = System.nanoTime(), process = vm.value, kind = kind).build()
        executor?.execute {
            out.write(Json.encodeToString(HistoryEvent.serializer(), event))
            out.newLine()
            out.flush()
        }
    }

    override fun close() {
        executor?.shutdown()
        executor?.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    private companion object {
        const val CLOSE_TIMEOUT_SECONDS = 2L
    }

    private fun newWriterExecutor(): ExecutorService =
        Executors.newSingleThreadExecutor { Thread(it, "history").apply { isDaemon = true } }
}
