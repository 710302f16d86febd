package io.apricotslip.bench.load

import com.github.michaelbull.result.getOrElse
import io.apricotslip.api.manifest.ManifestText
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.cli.required
import org.tinylog.configuration.Configuration
import java.io.File
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2
private const val EXIT_FAULTS = 1
private const val DEFAULT_RATE = 20.0
private const val DEFAULT_SECONDS = 30
private const val DEFAULT_DEADLINE_MILLIS = 30_000

/** `load`: sends open-loop traffic to running nodes. Exit codes: 0, 1 for faulty answers, 2 for wrong arguments. */
public fun main(args: Array<String>) {
    Configuration.set("writer", "console")
    Configuration.set("writer.stream", "err")
    Configuration.set("level", "error")
    val parser = ArgParser("load")
    val targets by parser.option(ArgType.String, "target", description = "Callers' port as HOST:PORT").multiple()
    val manifest by parser.option(ArgType.String, "manifest", description = "Manifest file").required()
    val rate by parser.option(ArgType.Double, "rate", description = "Requests a second").default(DEFAULT_RATE)
    val seconds by parser.option(ArgType.Int, "seconds", description = "Length of the run").default(DEFAULT_SECONDS)
    val exponent by parser.option(ArgType.Double, "zipf", description = "Exponent of popularity").default(1.0)
    val deadline by parser.option(
        ArgType.Int,
        "deadline-millis",
        description = "Deadline",
    ).default(DEFAULT_DEADLINE_MILLIS)
    val seed by parser.option(ArgType.Int, "seed", description = "Seed").default(1)
    parser.parse(args)
    if (targets.isEmpty()) exitWithUsageError("--target is needed")
    val options =
        LoadOptions(
            targets = targets,
            adapters = readAdapters(manifest),
            rate = rate,
            seconds = seconds,
            exponent = exponent,
            deadlineMillis = deadline.toLong(),
            seed = seed.toLong(),
        )
    val result = LoadRun(options).run()
    printResult(result, seconds)
    exitProcess(if (result.faultCounts.isEmpty()) 0 else EXIT_FAULTS)
}

private fun readAdapters(path: String): List<String> {
    val manifest = ManifestText.read(File(path).readText()).getOrElse { exitWithUsageError("$path: ${it.first()}") }
    return manifest.adapters.map { "${it.id}@${it.default ?: it.versions.first()}" }
}

private fun printResult(result: LoadResult, seconds: Int) {
    val header = listOf("class", "what", "count", "p50 ms", "p95 ms", "p99 ms", "longest ms")
    (listOf(header) + result.rows()).forEach { println(it.joinToString(" | ", "| ", " |")) }
    println("ends: ${result.endCounts}")
    println("faults: ${result.faultCounts}")
    println("tokens a second: %.0f".format(result.tokens.get().toDouble() / seconds))
}

private fun exitWithUsageError(reason: String): Nothing {
    System.err.println("load: $reason")
    exitProcess(EXIT_USAGE)
}
