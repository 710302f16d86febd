package io.apricotslip.node

import com.github.michaelbull.result.fold
import io.apricotslip.core.Node
import io.apricotslip.settings.NodeSettings
import io.apricotslip.settings.SettingsFault
import io.apricotslip.settings.SettingsReader
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import org.tinylog.configuration.Configuration
import java.nio.file.Path
import java.time.Duration
import kotlin.system.exitProcess

private const val EXIT_INVALID_SETTINGS = 2

/** Runs a node as a daemon. Exit codes: 0 after a graceful shutdown, 2 for invalid settings (nothing was started). */
public fun main(args: Array<String>) {
    val parser = ArgParser("apricotslip-node")
    val file by parser.option(ArgType.String, fullName = "settings", description = "settings file").required()
    parser.parse(args)
    SettingsReader.readFile(Path.of(file)).fold(::run, ::rejectSettings)
}

private fun run(settings: NodeSettings) {
    configureLogging(settings.logs.level)
    val node = Node(settings)
    val shutdownTimeout = Duration.ofMillis(settings.stop.announceMillis + 2 * settings.stop.graceMillis)
    val shutdownHook =
        Thread {
            node.stop().block(shutdownTimeout)
            node.close()
            Runtime.getRuntime().halt(0)
        }
    val ports = node.start()
    Runtime.getRuntime().addShutdownHook(shutdownHook)
    println("listening callers=${ports.callers} operators=${ports.operators} peers=${ports.peers}")
    node.stopped().block()
    exitProcess(0)
}

/** Writes logs to standard error, so that standard output has only the line with the listening ports. */
private fun configureLogging(level: String) {
    Configuration.set("writer", "console")
    Configuration.set("writer.stream", "err")
    Configuration.set("writer.format", "time={date:yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level={level} {message}")
    Configuration.set("level", level)
    Configuration.set("level@reactor.netty", "error")
    Configuration.set("level@io.netty", "warn")
}

private fun rejectSettings(faults: List<SettingsFault>) {
    faults.forEach { System.err.println("settings: ${it.path}: ${it.reason}") }
    exitProcess(EXIT_INVALID_SETTINGS)
}
