package io.apricotslip.standins.settings

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.apricotslip.standins.StandinKind
import io.apricotslip.standins.Standins
import kotlinx.serialization.KSerializer
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import java.io.File
import java.util.concurrent.TimeUnit

class SettingsTest {
    private fun paths(kind: StandinKind, text: String) = Standins.start(kind, text).getError().orEmpty().map { it.path }

    @Nested
    inner class `given one wrong value` {
        @ParameterizedTest
        @CsvSource(
            delimiter = '|',
            value = [
                "ENGINE | \"slots\": 0 | slots",
                "ENGINE | \"slots\": \"8\" | slots",
                "ENGINE | \"batch\": 0 | batch",
                "ENGINE | \"queue\": -1 | queue",
                "ENGINE | \"slotz\": 8 | slotz",
                "ENGINE | \"fence\": \"maybe\" | fence",
                "ENGINE | \"address\": \"host\" | address",
                "ENGINE | \"speed\": {\"stepMillis\": 0} | speed.stepMillis",
                "ENGINE | \"speed\": {\"coldMillis\": -1} | speed.coldMillis",
                "ENGINE | \"historyFile\": \"/no/such/folder/x\" | historyFile",
                "ENGINE | \"cache\": {\"eventLossRatio\": 2} | cache.eventLossRatio",
                "ENGINE | \"load\": {\"store\": {\"port\": 0}} | load.store.port",
                "ENGINE | \"reportLagMillis\": \"200ms\" | reportLagMillis",
                "STORE | \"loadsPerSecond\": 0, \"fullSpeedInFlight\": 1, \"maxInFlight\": 1 | loadsPerSecond",
                "STORE | \"loadsPerSecond\": 1, \"fullSpeedInFlight\": 9, \"maxInFlight\": 8 | maxInFlight",
                "STORE | \"fullSpeedInFlight\": 1, \"maxInFlight\": 8 | loadsPerSecond",
                "CONFIG | \"callsPerSecond\": 0 | callsPerSecond",
                "CONFIG | \"values\": [{\"key\": \"k\", \"file\": \"none\"}] | values[0].file",
                "CONFIG | \"whenDown\": \"hang\" | whenDown",
                "VMS | \"lagMillis\": -1 | lagMillis",
                "VMS | \"vms\": [{\"id\": \"v\", \"zone\": \"z\", \"address\": \"x\", \"port\": 1}] | vms[0].address",
                "BOOKING | \"answerMillis\": -1 | answerMillis",
            ],
        )
        fun `the fault reports the path of the value`(kind: StandinKind, keys: String, path: String) {
            val text = """{"id": "x", "port": 0, "admin": {"port": 0}, $keys}"""
            expectThat(paths(kind, text)).isEqualTo(listOf(path))
        }
    }

    @Nested
    inner class `given the bundled settings` {
        @ParameterizedTest
        @ValueSource(strings = ["tandemratas", "llyn"])
        fun `all are valid, and no port is used twice`(deployment: String) {
            fun <T : Checked> read(name: String, serializer: KSerializer<T>): T {
                val text = File("src/main/settings/$deployment/$name.json").readText()
                return SettingsText.read(text, serializer).getOrElse { error("$name: $it") }
            }
            val single = listOf(
                read("store", StoreSettings.serializer()),
                read("config", ConfigSettings.serializer()),
                read("vms", VmsSettings.serializer()),
            )
            val all = single + read("engines", EngineListSettings.serializer()).engines +
                read("bookings", BookingListSettings.serializer()).replicas
            val vms = single.filterIsInstance<VmsSettings>().single().vms
            val ports = all.flatMap { listOf(it.port, it.admin.port) } + vms.map { it.port }
            expectThat(ports.distinct()).isEqualTo(ports)
            expectThat(vms.size in 6..7).isEqualTo(true)
        }
    }

    @Nested
    inner class `given several faults` {
        @Test
        fun `all are reported at once`() {
            val text = """{"id": "", "port": 70000, "admin": {"port": "x"}, "slots": 0, "x": 1}"""
            expectThat(paths(StandinKind.ENGINE, text))
                .containsExactlyInAnyOrder("id", "port", "admin.port", "slots", "x")
        }

        @Test
        fun `duplicate names and ports in a list are reported`() {
            val engine = """{"id": "e", "port": 9000, "admin": {"port": 0}}"""
            expectThat(paths(StandinKind.ENGINES, """{"engines": [$engine, $engine]}"""))
                .containsExactlyInAnyOrder("engines[0].port", "engines[1].id", "engines[1].port")
        }

        @Test
        fun `the process exits with 2 and starts nothing`() {
            val file = File.createTempFile("standin", ".json").apply { writeText("""{"port": 70000, "x": 1}""") }
            val java = ProcessHandle.current().info().command().get()
            val command =
                listOf(
                    java,
                    "-Xmx64m",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "io.apricotslip.standins.StandinKt",
                ) +
                    listOf("engine", "--settings", file.path)
            val process = ProcessBuilder(command).start()
            val output = process.inputStream.reader().readText()
            val errors = process.errorStream.reader().readText()
            process.waitFor(1, TimeUnit.MINUTES)
            expectThat(process.exitValue()).isEqualTo(2)
            expectThat(output).isEqualTo("")
            listOf("id", "port", "admin", "x").forEach { expectThat(errors).contains(" $it: ") }
        }
    }
}
