package io.apricotslip.standins.manifest

import com.github.michaelbull.result.get
import io.apricotslip.api.manifest.ManifestText
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

class ManifestGeneratorTest {
    @Nested
    inner class `given a deployment profile` {
        @ParameterizedTest
        @CsvSource("TANDEMRATAS, 6, 2.0, 1, 8", "LLYN, 13, 5.5, 2, 16")
        fun `the manifest matches its sizes, is valid and fits into the configuration service`(
            deployment: Deployment,
            engines: Int,
            loadsPerSecond: Double,
            fullSpeedInFlight: Int,
            maxInFlight: Int,
        ) {
            val manifest = ManifestGenerator.generate(deployment)
            val text = ManifestText.write(manifest)
            expectThat(ManifestText.read(text).get()).isEqualTo(manifest)
            expectThat(text.toByteArray().size).isLessThan(1_048_576)
            expectThat(manifest.adapters.size).isEqualTo(3_000)
            expectThat(manifest.engines.size).isEqualTo(engines)
            expectThat(manifest.services.single().replicas.size).isEqualTo(3)
            expectThat(manifest.engines.map { it.zone }.toSet().size).isEqualTo(3)
            expectThat(manifest.store) {
                get { this.loadsPerSecond }.isEqualTo(loadsPerSecond)
                get { this.fullSpeedInFlight }.isEqualTo(fullSpeedInFlight)
                get { this.maxInFlight }.isEqualTo(maxInFlight)
            }
        }
    }
}
