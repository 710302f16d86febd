package io.apricotslip.e2e.cluster

import io.apricotslip.testutils.process.DaemonRunner
import io.apricotslip.testutils.process.DaemonSpec
import java.nio.file.Files
import java.nio.file.Path

/** Starts the stand-in services of a cluster on free ports, with one process for each kind. */
internal class Standins(
    private val runner: DaemonRunner,
    private val directory: Path,
    private val options: ClusterOptions,
) {
    /** History files written by the backend servers. */
    val histories: List<Path> =
        (options.engines.map { it.id } + bookingIds()).map { directory.resolve("$it.history") }

    val store: Standin =
        start("store", """{$FREE_PORTS "loadsPerSecond": 20, "fullSpeedInFlight": 4, "maxInFlight": 16}""")
    val config: Standin = start("config", "{$FREE_PORTS}")
    val vmList: Standin = start("vms", """{$FREE_PORTS "lagMillis": ${options.vmListLagMillis}}""")
    val engines: List<Standin> = startAll("engines", options.engines.map { it.id }, engineSettings())
    val bookings: List<Standin> = startAll("bookings", bookingIds(), bookingSettings())

    fun engine(id: String): Standin = engines.first { it.id == id }

    private fun bookingIds(): List<String> = (1..options.bookingReplicas).map { "b$it" }

    private fun engineSettings(): String = options.engines.joinToString(",", """{"engines": [""", "]}") { e ->
        val load = """"load": {"store": {"port": ${store.port}}}"""
        val speed = """"speed": {"stepMillis": ${options.stepMillis}, "prefillMillisPerThousandChars": 5}"""
        val fullness = """"fence": "${e.fence.name.lowercase()}", "whenFull": "${e.whenFull.name.lowercase()}""""
        val size = """"slots": ${e.slots}, "batch": ${e.batch}"""
        """{$FREE_PORTS "id": "${e.id}", ${historySetting(e.id)}, $size, $speed, $load, $fullness}"""
    }

    private fun bookingSettings(): String = bookingIds().joinToString(",", """{"replicas": [""", "]}") { id ->
        """{$FREE_PORTS "id": "$id", ${historySetting(id)}}"""
    }

    private fun historySetting(id: String): String = """"historyFile": "${directory.resolve("$id.history")}""""

    private fun start(kind: String, settings: String): Standin = startAll(kind, listOf(kind), settings).first()

    private fun startAll(kind: String, ids: List<String>, settings: String): List<Standin> {
        val file = Files.writeString(directory.resolve("$kind.jsonc"), settings)
        val spec =
            DaemonSpec(
                name = kind,
                mainClass = "io.apricotslip.standins.StandinKt",
                arguments = listOf(kind, "--settings", file.toString()),
                readyLine = Regex("""listening port=(\d+) admin=(\d+)(?: id=(\S+))?"""),
            )
        val daemon = runner.start(spec)
        return daemon.awaitReady(ids.size).map { (port, adminPort, id) ->
            Standin(id.ifEmpty { kind }, port.toInt(), adminPort.toInt(), daemon)
        }
    }

    private companion object {
        const val FREE_PORTS = """"port": 0, "admin": {"port": 0}, """
    }
}
