package io.apricotslip.testutils.process

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.nio.file.Path

class DaemonRunnerTest {
    @TempDir
    lateinit var dir: Path

    private fun spec(vararg arguments: String) = DaemonSpec(
        name = "sample",
        mainClass = SampleDaemon::class.java.name,
        arguments = arguments.toList(),
        readyLine = Regex("listening port=(\\d+)"),
        heapMegabytes = 32,
    )

    @Nested
    inner class `given a daemon that becomes ready` {
        @Test
        fun `its port is parsed and it exits when the runner is closed`() {
            val daemon =
                DaemonRunner(dir).use { runner ->
                    runner.start(spec("7")).also { expectThat(it.awaitReady()).isEqualTo(listOf("7")) }
                }
            expectThat(daemon.isAlive).isFalse()
        }

        @Test
        fun `it can be suspended, resumed and terminated`() {
            DaemonRunner(dir).use { runner ->
                val daemon = runner.start(spec("7")).also { it.awaitReady() }
                daemon.signal(ProcessSignal.STOP)
                daemon.signal(ProcessSignal.TERM)
                expectThat(daemon.awaitExit(300)).isNull()
                expectThat(daemon.isAlive).isTrue()
                daemon.signal(ProcessSignal.CONT)
                expectThat(daemon.awaitExit(10_000)).isNotNull()
            }
        }
    }

    @Nested
    inner class `given a daemon that fails to start` {
        @Test
        fun `the error message contains its output`() {
            DaemonRunner(dir).use { runner ->
                val error = assertThrows<IllegalStateException> { runner.start(spec()).awaitReady() }
                expectThat(error.message).isNotNull().contains("no port was given")
            }
        }
    }
}
