package io.apricotslip.testutils.history

import io.apricotslip.api.history.HistoryEvent
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path

/** Reads the history files that processes write. */
public object HistoryFiles {
    private val json = Json { ignoreUnknownKeys = true }

    /** Merges the events of [files], one per process incarnation, with the [callers] events; skips missing files. */
    public fun join(files: List<Path>, callers: List<HistoryEvent>): History =
        History(files.filter(Files::exists).map(::read) + listOf(callers))

    /**
     * Returns the events of [file]. Ignores an incomplete last line, which a process leaves behind if it is killed
     * while writing.
     *
     * @throws IllegalStateException if any other line is not a valid event.
     */
    public fun read(file: Path): List<HistoryEvent> {
        val lines = Files.readAllLines(file).filter { it.isNotBlank() }
        return lines.mapIndexedNotNull { i, line -> decode(line, isLast = i == lines.lastIndex, file = file) }
    }

    private fun decode(line: String, isLast: Boolean, file: Path): HistoryEvent? = try {
        json.decodeFromString(HistoryEvent.serializer(), line)
    } catch (e: SerializationException) {
        if (isLast) null else throw IllegalStateException("$file contains an invalid event line: $line", e)
    }
}
