package io.apricotslip.testutils.history

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

class HistoryFilesTest {
    @TempDir
    lateinit var dir: Path

    private val runEvent = """{"at":2,"process":"e1","kind":"RUN","server":"e1"}"""

    private fun file(text: String): Path = Files.writeString(dir.resolve("h"), text)

    @Test
    fun `events of files and callers are merged in time order`() {
        val caller = HistoryEvent(1, "caller", EventKind.INVOKE)
        val history = HistoryFiles.join(listOf(file(runEvent), dir.resolve("none")), listOf(caller))
        expectThat(history.events.map { it.process }).containsExactly("caller", "e1")
        expectThat(history.servers.size).isEqualTo(1)
    }

    @Test
    fun `an incomplete last line is ignored`() {
        expectThat(HistoryFiles.read(file("$runEvent\n{\"at\":3,\"pro")).size).isEqualTo(1)
    }

    @Test
    fun `an invalid line before the last is an error`() {
        assertThrows<IllegalStateException> { HistoryFiles.read(file("{\"at\":3,\"pro\n$runEvent\n")) }
    }
}
