package io.apricotslip.spec

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isNull

/**
 * Checks the invariants on the models whose state spaces are too large for CI. docs/PROOFS.md has the command that runs
 * this class, and the results.
 */
internal class LargeStateSpaces {
    @ParameterizedTest
    @MethodSource("large")
    fun `the invariant holds in every reachable state`(model: Model) {
        expectThat(Tlc.run(model).violatedInvariant).isNull()
    }

    private companion object {
        @JvmStatic
        fun large() = StateSpaces.large
    }
}
