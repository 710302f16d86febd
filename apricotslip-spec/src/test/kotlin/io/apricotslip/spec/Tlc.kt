package io.apricotslip.spec

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.createDirectories
import kotlin.io.path.readText
import kotlin.io.path.writeText

/**
 * Result of a TLC run.
 *
 * @property violatedInvariant name of the violated invariant, or null when TLC searched the whole state space and found
 * no violation.
 * @property distinctStates number of distinct states found.
 * @property depth depth of the complete state graph; 0 when the search ended early at a violation.
 * @property seconds wall time of the run.
 */
internal data class TlcResult(
    val violatedInvariant: String?,
    val distinctStates: Long,
    val depth: Int,
    val seconds: Long,
)

/** Runs the model checker TLC on a [Model], each time in a new JVM because TLC keeps static state. */
internal object Tlc {
    private const val TIMEOUT_MINUTES = 20L
    private val specDirectory = Path.of("src/main/tla")
    private val distinctStatesPattern = Regex("""([\d,]+) distinct states found""")
    private val depthPattern = Regex("""depth of the complete state graph search is (\d+)""")
    private val violationPattern = Regex("""Invariant (\w+) is violated""")

    /**
     * Runs TLC on [model] for at most [TIMEOUT_MINUTES] minutes and logs the result. Throws [IllegalStateException]
     * when TLC ends with neither a completed search nor a violated invariant.
     */
    fun run(model: Model): TlcResult {
        val directory = prepare(model)
        val output = directory.resolve("output.txt")
        val startedAt = System.nanoTime()
        val process =
            ProcessBuilder(command(model))
                .directory(directory.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start()
        if (!process.waitFor(TIMEOUT_MINUTES, TimeUnit.MINUTES)) process.destroyForcibly().waitFor()
        val seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedAt)
        return parse(model, output.readText(), seconds)
    }

    /** Writes the specifications and the module and configuration of [model] to a directory for this run. */
    private fun prepare(model: Model): Path {
        val directory = Path.of("target", "tlc", model.name).createDirectories()
        Files.list(specDirectory).use { files ->
            files.forEach { directory.resolve(it.fileName.toString()).writeText(it.readText()) }
        }
        directory.resolve("${model.name}.tla").writeText(model.tla())
        directory.resolve("${model.name}.cfg").writeText(model.cfg())
        return directory
    }

    private fun command(model: Model): List<String> {
        val jar = Path.of(Class.forName("tlc2.TLC").protectionDomain.codeSource.location.toURI())
        val java = Path.of(System.getProperty("java.home"), "bin", "java")
        return listOf("$java", "-Xmx2g", "-XX:+UseParallelGC", "-cp", "$jar", "tlc2.TLC") +
            listOf("-workers", "4", "-metadir", "states", "-config", "${model.name}.cfg", "${model.name}.tla")
    }

    private fun parse(model: Model, output: String, seconds: Long): TlcResult {
        val violated = violationPattern.find(output)?.groupValues?.get(1)
        val complete = "Model checking completed. No error has been found." in output
        check(complete || violated != null) { "TLC did not finish on ${model.name}: ${output.takeLast(2000)}" }
        val states = distinctStatesPattern.findAll(output).last().groupValues[1].replace(",", "").toLong()
        val depth = depthPattern.find(output)?.groupValues?.get(1)?.toInt() ?: 0
        val result = TlcResult(violated, states, depth, seconds)
        println(
            "event=tlc model=${model.name} violated=${violated ?: "none"} distinct=$states depth=$depth " +
                "seconds=$seconds",
        )
        return result
    }
}
