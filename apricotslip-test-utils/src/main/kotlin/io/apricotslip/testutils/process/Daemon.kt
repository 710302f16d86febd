package io.apricotslip.testutils.process

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/**
 * A daemon that runs in a separate process. Signals are sent to this process only.
 *
 * @property stdoutFile file that captures its standard output.
 * @property stderrFile file that captures its standard error.
 */
public class Daemon internal constructor(
    private val spec: DaemonSpec,
    private val process: Process,
    public val stdoutFile: Path,
    public val stderrFile: Path,
) : AutoCloseable {
    /** Name from the [DaemonSpec], used in error messages. */
    public val name: String get() = spec.name

    /** Whether the process has not exited; true for a suspended process as well. */
    public val isAlive: Boolean get() = process.isAlive

    /** Waits for the first ready line and returns its capture groups, without the full match. */
    public fun awaitReady(): List<String> = awaitReady(count = 1).first()

    /**
     * Waits for [count] ready lines and returns the capture groups of each.
     *
     * @throws IllegalStateException if the process exits or the start timeout expires first.
     */
    public fun awaitReady(count: Int): List<List<String>> {
        val deadlineNanos = System.nanoTime() + spec.startTimeout.toNanos()
        while (true) {
            val lines = Files.readAllLines(stdoutFile).mapNotNull(spec.readyLine::matchEntire)
            if (lines.size >= count) return lines.take(count).map { it.groupValues.drop(1) }
            check(process.isAlive) {
                "$name exited with code ${process.exitValue()} before it was ready: ${outputTail()}"
            }
            check(System.nanoTime() < deadlineNanos) {
                "$name was not ready within ${spec.startTimeout}: ${outputTail()}"
            }
            Thread.sleep(POLL_INTERVAL_MILLIS)
        }
    }

    /** Sends [signal] to the process. */
    public fun signal(signal: ProcessSignal) {
        when (signal) {
            ProcessSignal.TERM -> process.destroy()
            ProcessSignal.KILL -> process.destroyForcibly()
            ProcessSignal.STOP, ProcessSignal.CONT -> kill(signal)
        }
    }

    /** Waits for the process to exit; returns its exit code, or null if it still runs after [timeoutMillis]. */
    public fun awaitExit(timeoutMillis: Long): Int? =
        if (process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)) process.exitValue() else null

    /** Kills the process and waits for it to exit. */
    override fun close() {
        process.destroyForcibly()
        process.waitFor(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    /** Uses the `kill` command, as the JVM has no API for SIGSTOP and SIGCONT. */
    private fun kill(signal: ProcessSignal) {
        check(process.isAlive) { "$name has already exited" }
        val code = ProcessBuilder("kill", "-${signal.name}", process.pid().toString()).inheritIO().start().waitFor()
        check(code == 0) { "kill -${signal.name} of $name exited with code $code" }
    }

    private fun outputTail(): String =
        (Files.readAllLines(stdoutFile) + Files.readAllLines(stderrFile)).takeLast(ERROR_TAIL_LINES).joinToString("\n")

    private companion object {
        const val POLL_INTERVAL_MILLIS = 20L
        const val CLOSE_TIMEOUT_SECONDS = 10L
        const val ERROR_TAIL_LINES = 20
    }
}
