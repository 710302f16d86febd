package io.apricotslip.spec

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.createDirectories
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** What TLC found. [violated] is the violated invariant, or null when the whole state space was searched without one. */
internal data class TlcResult(val violated: String?, val distinct: Long, val depth: Int, val seconds: Long)

/** Runs TLC on a [Model] in a JVM of its own, for TLC keeps static state. */
internal object Tlc {
    private const val MINUTES = 20L
    private val sources = Path.of("src/main/tla")
    private val distinct = Regex("""([\d,]+) distinct states found""")
    private val depth = Regex("""depth of the complete state graph search is (\d+)""")
    private val violated = Regex("""Invariant (\w+) is violated""")

    fun run(model: Model): TlcResult {
        val directory = prepare(model)
        val output = directory.resolve("output.txt")
        val started = System.nanoTime()
        val process =
            ProcessBuilder(command(model))
                .directory(directory.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start()
        if (!process.waitFor(MINUTES, TimeUnit.MINUTES)) process.destroyForcibly().waitFor()
        val seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - started)
        return parse(model, output.readText(), seconds)
    }

    private fun prepare(model: Model): Path {
        val directory = Path.of("target", "tlc", model.name).createDirectories()
        Files.list(sources).use { files ->
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
        val broken = violated.find(output)?.groupValues?.get(1)
        val complete = "Model checking completed. No error has been found." in output
        check(complete || broken != null) { "TLC did not finish on ${model.name}: ${output.takeLast(2000)}" }
        val states = distinct.findAll(output).last().groupValues[1].replace(",", "").toLong()
        val result = TlcResult(broken, states, depth.find(output)?.groupValues?.get(1)?.toInt() ?: 0, seconds)
        println(
            "event=tlc model=${model.name} violated=${broken ?: "none"} distinct=$states depth=${result.depth} seconds=$seconds",
        )
        return result
    }
}
