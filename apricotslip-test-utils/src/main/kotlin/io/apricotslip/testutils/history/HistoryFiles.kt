package io.apricotslip.testutils.history

import io.apricotslip.api.history.HistoryEvent
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path

/** Reads the files that processes write their histories to. */
public object HistoryFiles {
    private val json = Json { ignoreUnknownKeys = true }

    /** Joins [files], one process life each, with [callers]. */
    public fun join(files: List<Path>, callers: List<HistoryEvent>): History =
        History(files.filter(Files::exists).map(::read) + listOf(callers))

    /** The events of [file]. A last line that a killed process left unfinished is ignored. */
    public fun read(file: Path): List<HistoryEvent> {
        val lines = Files.readAllLines(file).filter { it.isNotBlank() }
        return lines.mapIndexedNotNull { i, line -> decode(line, isLast = i == lines.lastIndex, file = file) }
    }

    private fun decode(line: String, isLast: Boolean, file: Path): HistoryEvent? = try {
        json.decodeFromString(HistoryEvent.serializer(), line)
    } catch (e: SerializationException) {
        if (isLast) null else throw IllegalStateException("$file holds a line that is no event: $line", e)
    }
}
