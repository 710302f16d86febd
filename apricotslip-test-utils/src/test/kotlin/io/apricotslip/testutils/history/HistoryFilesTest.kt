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

    private val run = """{"at":2,"process":"e1","kind":"RUN","server":"e1"}"""

    private fun file(text: String): Path = Files.writeString(dir.resolve("h"), text)

    @Test
    fun `files and callers are joined in the order of time`() {
        val caller = HistoryEvent(1, "caller", EventKind.INVOKE)
        val history = HistoryFiles.join(listOf(file(run), dir.resolve("none")), listOf(caller))
        expectThat(history.events.map { it.process }).containsExactly("caller", "e1")
        expectThat(history.servers.size).isEqualTo(1)
    }

    @Test
    fun `an unfinished last line is ignored`() {
        expectThat(HistoryFiles.read(file("$run\n{\"at\":3,\"pro")).size).isEqualTo(1)
    }

    @Test
    fun `a broken line in the middle is an error`() {
        assertThrows<IllegalStateException> { HistoryFiles.read(file("{\"at\":3,\"pro\n$run\n")) }
    }
}
