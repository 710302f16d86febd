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

private const val EXIT_SETTINGS = 2

/** Daemon of a node. Exit codes: 0 after a planned stop, 2 for wrong settings (nothing was started). */
public fun main(args: Array<String>) {
    val parser = ArgParser("apricotslip-node")
    val file by parser.option(ArgType.String, fullName = "settings", description = "settings file").required()
    parser.parse(args)
    SettingsReader.readFile(Path.of(file)).fold(::run, ::reject)
}

private fun run(settings: NodeSettings) {
    configureLogs(settings.logs.level)
    val node = Node(settings)
    val grace = Duration.ofMillis(settings.stop.announceMillis + 2 * settings.stop.graceMillis)
    val hook =
        Thread {
            node.stop().block(grace)
            node.close()
            Runtime.getRuntime().halt(0)
        }
    val ports = node.start()
    Runtime.getRuntime().addShutdownHook(hook)
    println("listening callers=${ports.callers} operators=${ports.operators} peers=${ports.peers}")
    node.stopped().block()
    exitProcess(0)
}

/** Logs go to standard error, so that standard output holds only the ports. */
private fun configureLogs(level: String) {
    Configuration.set("writer", "console")
    Configuration.set("writer.stream", "err")
    Configuration.set("writer.format", "time={date:yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level={level} {message}")
    Configuration.set("level", level)
    Configuration.set("level@reactor.netty", "error")
    Configuration.set("level@io.netty", "warn")
}

private fun reject(faults: List<SettingsFault>) {
    faults.forEach { System.err.println("settings: ${it.path}: ${it.reason}") }
    exitProcess(EXIT_SETTINGS)
}
