package io.apricotslip.api.manifest

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.apricotslip.api.id.ManifestRevision
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

class ManifestTextTest {
    private val valid =
        """
        // a manifest with one of each
        {
          "revision": 7,
          "models": [{"id": "base"}],
          "adapters": [{"id": "club-1", "model": "base", "versions": ["v1", "v2"], "default": "v2"}],
          "engines": [{"id": "e1", "model": "base", "zone": "z1", "address": "127.0.0.1", "port": 9000, "slots": 4, "batch": 8}],
          "services": [{"id": "booking", "replicas": [{"id": "b1", "zone": "z1", "address": "127.0.0.1", "port": 9100}]}],
          "store": {"loadsPerSecond": 2.0, "fullSpeedInFlight": 1, "maxInFlight": 8},
        }
        """.trimIndent()

    @Nested
    inner class `given a valid manifest` {
        @Test
        fun `it is read despite comments and trailing commas`() {
            expectThat(ManifestText.read(valid).get()).isNotNull().get { revision }.isEqualTo(ManifestRevision(7))
        }

        @Test
        fun `writing and reading it returns an equal manifest`() {
            val manifest = ManifestText.read(valid).get()!!
            expectThat(ManifestText.read(ManifestText.write(manifest)).get()).isEqualTo(manifest)
        }
    }

    @Nested
    inner class `given one invalid value` {
        @ParameterizedTest
        @CsvSource(
            delimiter = '|',
            value = [
                "\"revision\": 7 | \"revision\": 0 | revision",
                "\"model\": \"base\", \"versions\" | \"model\": \"none\", \"versions\" | adapters[0].model",
                "[\"v1\", \"v2\"] | [\"v2\", \"v2\"] | adapters[0].versions[1].id",
                "[\"v1\", \"v2\"] | [] | adapters[0].versions",
                "\"default\": \"v2\" | \"default\": \"v9\" | adapters[0].default",
                "\"slots\": 4 | \"slots\": 0 | engines[0].slots",
                "\"batch\": 8 | \"batch\": 0 | engines[0].batch",
                "\"port\": 9000 | \"port\": 70000 | engines[0].port",
                "\"address\": \"127.0.0.1\", \"port\": 9100 | \"address\": \"host\", \"port\": 9100 | services[0].replicas[0].address",
                "\"maxInFlight\": 8 | \"maxInFlight\": 0 | store.maxInFlight",
            ],
        )
        fun `the fault names its path`(from: String, to: String, path: String) {
            val faults = ManifestText.read(valid.replace(from, to)).getError().orEmpty()
            expectThat(faults.map { it.path }).contains(path)
        }

        @Test
        fun `a syntax error names line and column`() {
            val faults = ManifestText.read(valid.replace("\"revision\": 7", "\"revision\": seven")).getError().orEmpty()
            expectThat(faults.single().path).isEqualTo("3:15")
        }

        @Test
        fun `an unknown key is reported`() {
            val faults = ManifestText.read(valid.replace("\"revision\": 7", "\"revision\": 7, \"x\": 1")).getError()
            expectThat(faults.orEmpty().size).isEqualTo(1)
        }
    }

    @Nested
    inner class `given structural faults and violated rules` {
        private val text =
            valid
                .replace("\"revision\": 7", "\"revison\": 7")
                .replace("\"slots\": 4", "\"slots\": \"four\"")
                .replace("\"port\": 9100", "\"port\": 70000")

        @Test
        fun `all are reported with path, line and column`() {
            val faults = ManifestText.read(text).getError().orEmpty().map { "${it.position} ${it.path}" }
            expectThat(faults).containsExactly(
                "2:1 revision",
                "3:3 revison",
                "6:106 engines[0].slots",
                "7:106 services[0].replicas[0].port",
            )
        }

        @Test
        fun `a violated rule is not reported when it compares with a faulty value`() {
            val faults = ManifestText.read(valid.replace("\"models\"", "\"modells\"")).getError().orEmpty()
            expectThat(faults.map { it.path }).containsExactly("models", "modells")
        }
    }

    @Nested
    inner class `given two backend servers on one address and port` {
        @Test
        fun `the fault of the second names the first`() {
            val fault = ManifestText.read(valid.replace("9100", "9000")).getError().orEmpty().single()
            expectThat(fault.path).isEqualTo("services[0].replicas[0].port")
            expectThat(fault.reason).contains("engines[0]")
        }
    }

    @Nested
    inner class `given a text around the maximum size` {
        @Test
        fun `one above it is rejected without being parsed`() {
            val fault = ManifestText.read(valid + " ".repeat(ManifestText.MAX_BYTES)).getError().orEmpty().single()
            expectThat(fault.path).isEqualTo("$")
        }

        @Test
        fun `one of exactly that size is read`() {
            val padded = valid + " ".repeat(ManifestText.MAX_BYTES - valid.length)
            expectThat(ManifestText.read(padded).get()).isNotNull()
        }
    }
}
