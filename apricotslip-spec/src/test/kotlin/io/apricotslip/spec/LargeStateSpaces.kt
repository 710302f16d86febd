package io.apricotslip.spec

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isNull

/** Not part of CI; docs/PROOFS.md has the command and the figures. */
internal class LargeStateSpaces {
    @ParameterizedTest
    @MethodSource("large")
    fun `the protocol keeps its promise`(model: Model) {
        expectThat(Tlc.run(model).violated).isNull()
    }

    private companion object {
        @JvmStatic
        fun large() = StateSpaces.large
    }
}
