package io.apricotslip.testutils.process

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/**
 * A daemon that runs as a process of its own. Signals go to this process only.
 *
 * @property out file with its standard output.
 * @property err file with its standard error.
 */
public class Daemon internal constructor(
    private val spec: DaemonSpec,
    private val process: Process,
    public val out: Path,
    public val err: Path,
) : AutoCloseable {
    /** Name from the [DaemonSpec]. */
    public val name: String get() = spec.name

    /** Whether the process runs; a frozen one does. */
    public val isAlive: Boolean get() = process.isAlive

    /** Groups of the ready line, without the whole of it; waits until the line is there. */
    public fun awaitReady(): List<String> = awaitReady(count = 1).first()

    /** Groups of the first [count] ready lines; waits until they are there. */
    public fun awaitReady(count: Int): List<List<String>> {
        val until = System.nanoTime() + spec.startLimit.toNanos()
        while (true) {
            val lines = Files.readAllLines(out).mapNotNull(spec.ready::matchEntire)
            if (lines.size >= count) return lines.take(count).map { it.groupValues.drop(1) }
            check(process.isAlive) { "$name ended with ${process.exitValue()} before it was ready: ${tail()}" }
            check(System.nanoTime() < until) { "$name was not ready within ${spec.startLimit}: ${tail()}" }
            Thread.sleep(POLL_MILLIS)
        }
    }

    /** Sends [signal]. */
    public fun signal(signal: ProcessSignal) {
        when (signal) {
            ProcessSignal.TERM -> process.destroy()
            ProcessSignal.KILL -> process.destroyForcibly()
            ProcessSignal.STOP, ProcessSignal.CONT -> kill(signal)
        }
    }

    /** Waits for the end of the process; returns its exit code, or null when it still runs after [millis]. */
    public fun awaitExit(millis: Long): Int? =
        if (process.waitFor(millis, TimeUnit.MILLISECONDS)) process.exitValue() else null

    /** Ends the process. */
    override fun close() {
        process.destroyForcibly()
        process.waitFor(CLOSE_SECONDS, TimeUnit.SECONDS)
    }

    /** The JVM has no call for these two signals. */
    private fun kill(signal: ProcessSignal) {
        check(process.isAlive) { "$name has ended" }
        val code = ProcessBuilder("kill", "-${signal.name}", process.pid().toString()).inheritIO().start().waitFor()
        check(code == 0) { "kill -${signal.name} of $name ended with $code" }
    }

    private fun tail(): String =
        (Files.readAllLines(out) + Files.readAllLines(err)).takeLast(TAIL_LINES).joinToString("\n")

    private companion object {
        const val POLL_MILLIS = 20L
        const val CLOSE_SECONDS = 10L
        const val TAIL_LINES = 20
    }
}
