package io.apricotslip.e2e.cluster

import io.apricotslip.testutils.process.DaemonRunner
import io.apricotslip.testutils.process.DaemonSpec
import java.nio.file.Files
import java.nio.file.Path

/** Starts the stand-ins of a cluster, each kind as a process, on free ports. */
internal class Standins(
    private val runner: DaemonRunner,
    private val directory: Path,
    private val options: ClusterOptions,
) {
    /** Histories that backend servers write. */
    val histories: List<Path> =
        (options.engines.map { it.id } + bookingIds()).map { directory.resolve("$it.history") }

    val store: Standin =
        start("store", """{$ANY_PORTS "loadsPerSecond": 20, "fullSpeedInFlight": 4, "maxInFlight": 16}""")
    val config: Standin = start("config", "{$ANY_PORTS}")
    val vms: Standin = start("vms", """{$ANY_PORTS "lagMillis": ${options.listLagMillis}}""")
    val engines: List<Standin> = startAll("engines", options.engines.map { it.id }, engineList())
    val bookings: List<Standin> = startAll("bookings", bookingIds(), bookingList())

    fun engine(id: String): Standin = engines.first { it.id == id }

    private fun bookingIds(): List<String> = (1..options.bookings).map { "b$it" }

    private fun engineList(): String = options.engines.joinToString(",", """{"engines": [""", "]}") { e ->
        val load = """"load": {"store": {"port": ${store.port}}}"""
        val speed = """"speed": {"stepMillis": ${options.stepMillis}, "prefillMillisPerThousandChars": 5}"""
        val fullness = """"fence": "${e.fence.name.lowercase()}", "whenFull": "${e.whenFull.name.lowercase()}""""
        val size = """"slots": ${e.slots}, "batch": ${e.batch}"""
        """{$ANY_PORTS "id": "${e.id}", ${history(e.id)}, $size, $speed, $load, $fullness}"""
    }

    private fun bookingList(): String = bookingIds().joinToString(",", """{"replicas": [""", "]}") { id ->
        """{$ANY_PORTS "id": "$id", ${history(id)}}"""
    }

    private fun history(id: String): String = """"historyFile": "${directory.resolve("$id.history")}""""

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
        return daemon.awaitReady(ids.size).map { (port, admin, id) ->
            Standin(id.ifEmpty { kind }, port.toInt(), admin.toInt(), daemon)
        }
    }

    private companion object {
        const val ANY_PORTS = """"port": 0, "admin": {"port": 0}, """
    }
}
