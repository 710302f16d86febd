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

private const val EXIT_SETTINGS = 2
private const val EXIT_START = 3

/** `standin KIND --settings FILE [--id ID]`. */
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
        if (text == null) refuse(listOf(JsonFault("$", "'$file' is not a file that can be read")))
        val started = runCatching { Standins.start(kind, text, id) }
        val result = started.getOrElse { e -> fail(e) }
        result.fold(success = ::serve, failure = ::refuse)
    }

    private fun refuse(faults: List<JsonFault>): Nothing {
        faults.forEach { System.err.println("$file: $it") }
        exitProcess(EXIT_SETTINGS)
    }

    private fun fail(e: Throwable): Nothing {
        Logger.error { "event=start_failed kind=${kind.label} step=listen reason=\"${e.message}\"" }
        exitProcess(EXIT_START)
    }

    private fun serve(running: List<RunningStandin>) {
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
        .default(ManifestGenerator.ADAPTERS_OF_A_DEPLOYMENT)

    override fun execute() {
        val chosen = Deployment.entries.first { it.label == deployment }
        val manifest = ManifestGenerator.generate(chosen, revision.toLong(), adapters)
        File(out).writeText(ManifestText.write(manifest))
    }
}

/** Standard output is kept for the ports that tests read. */
private fun logToStandardError() {
    Configuration.set("writer", "console")
    Configuration.set("writer.stream", "err")
    Configuration.set("writer.format", "{date: yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level={level} {message}")
    Configuration.set("level", "info")
    Configuration.set("level@io.netty", "warn")
    Configuration.set("level@reactor", "warn")
}
