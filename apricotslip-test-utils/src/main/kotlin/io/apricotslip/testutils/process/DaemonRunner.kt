package io.apricotslip.testutils.process

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList

/** Starts daemons with the class path of the test; kills them all on [close] or when the JVM of the test exits. */
public class DaemonRunner(private val directory: Path) : AutoCloseable {
    private val daemons = CopyOnWriteArrayList<Daemon>()
    private val shutdownHook = Thread { daemons.forEach(Daemon::close) }

    init {
        Files.createDirectories(directory)
        Runtime.getRuntime().addShutdownHook(shutdownHook)
    }

    /** Starts the daemon without waiting for it to listen; see [Daemon.awaitReady]. */
    public fun start(spec: DaemonSpec): Daemon {
        val index = daemons.size
        val stdoutFile = Files.createFile(directory.resolve("${spec.name}-$index.out"))
        val stderrFile = Files.createFile(directory.resolve("${spec.name}-$index.err"))
        val process =
            ProcessBuilder(command(spec)).redirectOutput(stdoutFile.toFile()).redirectError(stderrFile.toFile()).start()
        return Daemon(spec, process, stdoutFile, stderrFile).also(daemons::add)
    }

    override fun close() {
        daemons.forEach(Daemon::close)
        Runtime.getRuntime().removeShutdownHook(shutdownHook)
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
