@file:OptIn(ExperimentalCli::class)

package io.apricotslip.standins

import com.github.michaelbull.result.fold
import io.apricotslip.api.json.JsonFault
import io.apricotslip.api.manifest.ManifestText
import io.apricotslip.standins.manifest.Deployment
import io.apricotslip.standins.manifest.ManifestGenerator
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.tinylog.configuration.Configuration
import org.tinylog.kotlin.Logger
import java.io.File
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private const val EXIT_INVALID_SETTINGS = 2
private const val EXIT_START_FAILED = 3

/**
 * Entry point: `standin KIND --settings FILE [--id ID]` starts stand-ins, `standin manifest` writes the manifest of a
 * deployment profile.
 */
public fun main(args: Array<String>) {
    logToStandardError()
    val parser = ArgParser("standin")
    StandinKind.entries.forEach { parser.subcommands(StartCommand(it)) }
    parser.subcommands(ManifestCommand())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
}

private class StartCommand(private val kind: StandinKind) : Subcommand(kind.label, "Runs the stand-in: ${kind.label}") {
    private val file by option(ArgType.String, "settings", description = "Settings file").required()
    private val id by option(ArgType.String, "id", description = "Runs only this one of a list")

    override fun execute() {
        val text = File(file).takeIf { it.isFile }?.readText()
        if (text == null) exitWithFaults(listOf(JsonFault("$", "'$file' is not a file that can be read")))
        val started = runCatching { Standins.start(kind, text, id) }
        val result = started.getOrElse { e -> exitWithStartFailure(e) }
        result.fold(success = ::announceAndWait, failure = ::exitWithFaults)
    }

    private fun exitWithFaults(faults: List<JsonFault>): Nothing {
        faults.forEach { System.err.println("$file: $it") }
        exitProcess(EXIT_INVALID_SETTINGS)
    }

    private fun exitWithStartFailure(e: Throwable): Nothing {
        Logger.error { "event=start_failed kind=${kind.label} step=listen reason=\"${e.message}\"" }
        exitProcess(EXIT_START_FAILED)
    }

    private fun announceAndWait(running: List<RunningStandin>) {
        running.forEach(::announce)
        CountDownLatch(1).await()
    }

    private fun announce(standin: RunningStandin) {
        val ports = "port=${standin.port} admin=${standin.adminPort}"
        val isOneOfList = kind == StandinKind.ENGINES || kind == StandinKind.BOOKINGS
        println(if (isOneOfList) "listening $ports id=${standin.id}" else "listening $ports")
        Logger.info { "event=listening kind=${kind.label} standin=${standin.id} $ports" }
    }
}

private class ManifestCommand : Subcommand("manifest", "Writes the manifest of a ready deployment") {
    private val names = Deployment.entries.map { it.label }
    private val deployment by option(ArgType.Choice(names, { it }), "deployment", description = "Deployment").required()
    private val out by option(ArgType.String, "out", description = "File to write").required()
    private val revision by option(ArgType.Int, "revision", description = "Revision").default(1)
    private val adapters by option(ArgType.Int, "adapters", description = "Number of adapters")
        .default(ManifestGenerator.DEFAULT_ADAPTER_COUNT)

    override fun execute() {
        val profile = Deployment.entries.first { it.label == deployment }
        val manifest = ManifestGenerator.generate(profile, revision.toLong(), adapters)
        File(out).writeText(ManifestText.write(manifest))
    }
}

/** Sends the log to standard error: standard output carries only the ports, which tests read. */
private fun logToStandardError() {
    Configuration.set("writer", "console")
    Configuration.set("writer.stream", "err")
    Configuration.set("writer.format", "{date: yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level={level} {message}")
    Configuration.set("level", "info")
    Configuration.set("level@io.netty", "warn")
    Configuration.set("level@reactor", "warn")
}
