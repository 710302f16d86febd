package io.apricotslip.testutils.process

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList

/** Starts daemons with the class path of the test and ends them all at [close], or when the test's JVM ends. */
public class DaemonRunner(private val directory: Path) : AutoCloseable {
    private val started = CopyOnWriteArrayList<Daemon>()
    private val hook = Thread { started.forEach(Daemon::close) }

    init {
        Files.createDirectories(directory)
        Runtime.getRuntime().addShutdownHook(hook)
    }

    /** Starts the daemon; [Daemon.awaitReady] waits until it listens. */
    public fun start(spec: DaemonSpec): Daemon {
        val number = started.size
        val out = Files.createFile(directory.resolve("${spec.name}-$number.out"))
        val err = Files.createFile(directory.resolve("${spec.name}-$number.err"))
        val process = ProcessBuilder(command(spec)).redirectOutput(out.toFile()).redirectError(err.toFile()).start()
        return Daemon(spec, process, out, err).also(started::add)
    }

    override fun close() {
        started.forEach(Daemon::close)
        Runtime.getRuntime().removeShutdownHook(hook)
    }

    private fun command(spec: DaemonSpec): List<String> = listOf(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-Xmx${spec.heapMegabytes}m",
        "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1",
        "-cp",
        System.getProperty("java.class.path"),
        spec.mainClass,
    ) + spec.arguments
}
