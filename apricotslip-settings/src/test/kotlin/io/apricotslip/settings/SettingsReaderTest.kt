package io.apricotslip.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.single
import java.nio.file.Path

class SettingsReaderTest {
    private val example = SettingsReader.example()

    private fun pathsOf(text: String): List<String> = SettingsReader.read(text).getError().orEmpty().map { it.path }

    private fun exampleWith(from: String, to: String): String {
        check(from in example) { "the example does not contain $from" }
        return example.replaceFirst(from, to)
    }

    @Nested
    inner class `given one invalid value` {
        @ParameterizedTest
        @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            value = [
                """ "id": "vm-1"                 | "id": ""                          | vm.id """,
                """ "zone": "zone-a",            | ''                                | vm.zone """,
                """ "address": "127.0.0.1", // required; the address | "address": "vm-1.local", // | vm.address """,
                """ "port": 8080                 | "port": -1                        | callers.port """,
                """ "port": 8080                 | "port": 65536                     | callers.port """,
                """ "port": 8081                 | "port": 8080                      | operators.port """,
                """ "port": 8082                 | "port": 8081                      | peers.port """,
                """ "port": 8500                 | "port": 0                         | platform.configuration.port """,
                """ "maxHeaderBytes": 16384      | "maxHeaderBytes": 10              | callers.maxHeaderBytes """,
                """ "maxBodyBytes": 1048576      | "maxBodyBytes": 4194304           | callers.maxBodyBytes """,
                """ "maxBodyBytes": 1048576      | "maxBodyBytes": "1MB"             | callers.maxBodyBytes """,
                """ "maxConcurrent": 4096        | "maxConcurrent": 0                | callers.maxConcurrent """,
                """ "defaultDeadlineMillis": 30000 | "defaultDeadlineMillis": 600001 | callers.defaultDeadlineMillis """,
                """ "keys": []                   | "keys": ["short"]                 | operators.keys[0] """,
                """ "keys": []                   | "keys": ["0123456789abcdef", "0123456789abcdef"] | operators.keys[1] """,
                """ "keys": []                   | "keys": [7]                       | operators.keys[0] """,
                """ "silentMillis": 2000         | "silentMillis": 500               | peers.silentMillis """,
                """ "leaseMillis": 3000          | "leaseMillis": 1000               | peers.leaseMillis """,
                """ "leaseMillis": 3000          | "leaseMillis": "3s"               | peers.leaseMillis """,
                """ "leaseMillis": 3000          | "leaseMillis": 3000.5             | peers.leaseMillis """,
                """ "maxQueuedBytes": 16777216   | "maxQueuedBytes": 4194303         | peers.maxQueuedBytes """,
                """ "maxRetryMillis": 10000      | "maxRetryMillis": 499             | platform.maxRetryMillis """,
                """ "retryBudgetRatio": 0.1      | "retryBudgetRatio": 1.1           | limits.retryBudgetRatio """,
                """ "goal": "load-stalls"        | "goal": "speed"                   | policy.goal """,
                """ "loadBackoffMillis": 500     | "loadBackoffMillis": 0            | policy.loadBackoffMillis """,
                """ "maxLoadBackoffMillis": 15000 | "maxLoadBackoffMillis": 1        | policy.maxLoadBackoffMillis """,
                """ "retentionMillis": 600000    | "retentionMillis": 10000          | reservations.retentionMillis """,
                """ "graceMillis": 30000         | "graceMillis": 999                | stop.graceMillis """,
                """ "otlpEndpoint": null         | "otlpEndpoint": "host:4318"       | traces.otlpEndpoint """,
                """ "sampleRatio": 1.0           | "sampleRatio": -0.1               | traces.sampleRatio """,
                """ "file": null                 | "file": " "                       | history.file """,
                """ "level": "info"              | "level": "loud"                   | logs.level """,
                """ "level": "info"              | "level": null                     | logs.level """,
                """ "idleMillis"                 | "idleSeconds"                     | callers.idleSeconds """,
                """ "loadBackoffMillis": 500,    | "loadBackoffMillis": 500, "loadBackoffMillis": 501, | policy.loadBackoffMillis """,
            ],
        )
        fun `it is reported as the only fault, with its path`(from: String, to: String, path: String) {
            val faults = pathsOf(exampleWith(from, to))
            expectThat(faults).containsExactly(path)
        }
    }

    @Nested
    inner class `given several faults of different kinds` {
        private val text =
            example
                .replaceFirst("\"id\": \"vm-1\",", "")
                .replaceFirst("\"port\": 8080", "\"port\": 70000")
                .replaceFirst("\"heartbeatMillis\": 500", "\"heartbeatSeconds\": 1, \"heartbeatMillis\": \"500ms\"")
                .replaceFirst("\"sampleRatio\": 1.0", "\"sampleRatio\": 7.0")

        @Test
        fun `all are reported in the order of the text`() {
            expectThat(pathsOf(text)).containsExactly(
                "vm.id",
                "callers.port",
                "peers.heartbeatSeconds",
                "peers.heartbeatMillis",
                "traces.sampleRatio",
            )
        }

        @Test
        fun `a wrong unit is reported together with the expected one`() {
            val reasons = SettingsReader.read(text).getError().orEmpty().associate { it.path to it.reason }
            expectThat(reasons["peers.heartbeatSeconds"])
                .isEqualTo("the key is unknown; 'heartbeatMillis' (milliseconds) was probably meant")
            expectThat(reasons["peers.heartbeatMillis"])
                .isEqualTo("a whole number of milliseconds is needed, found \"500ms\"")
        }
    }

    @Nested
    inner class `given a text that is not a settings file` {
        @ParameterizedTest
        @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            value = ["'' | 1:1", "[] | $", "7 | $", "{ | 1:2", "{} {} | 1:4", "{\"vm\": vm-1} | 1:8"],
        )
        fun `the fault has the path of its position`(text: String, path: String) {
            expectThat(SettingsReader.read(text).getError().orEmpty().first().path).isEqualTo(path)
        }

        @Test
        fun `every required section of an empty object is reported`() {
            expectThat(pathsOf("{}")).containsExactly("vm", "callers", "operators", "peers", "platform")
        }

        @Test
        fun `a missing file is reported as a fault`(@TempDir dir: Path) {
            val faults = SettingsReader.readFile(dir.resolve("none.jsonc")).getError().orEmpty()
            expectThat(faults).single().get { reason }.contains("none.jsonc")
        }
    }

    @Nested
    inner class `given frames too small for a manifest and a body` {
        @Test
        fun `both constraints are reported`() {
            val text = exampleWith("\"maxFrameBytes\": 4194304", "\"maxFrameBytes\": 65536")
            expectThat(pathsOf(text)).containsExactly("callers.maxBodyBytes", "peers.maxFrameBytes")
        }
    }

    @Nested
    inner class `given ports of 0` {
        @Test
        fun `they do not conflict`() {
            val text = exampleWith("\"port\": 8080", "\"port\": 0").replaceFirst("\"port\": 8081", "\"port\": 0")
            expectThat(SettingsReader.read(text).get()?.operators?.port).isEqualTo(0)
        }
    }
}
