package io.apricotslip.spec

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/**
 * Checks the protocols in src/main/tla with TLC. An invariant can also hold because the model is too weak to violate
 * it. The tests therefore also check that TLC reports a violation for each disabled rule, and that the modelled actions
 * are reachable.
 */
internal class StateSpaceTest {
    @ParameterizedTest
    @MethodSource("complete")
    fun `the invariant holds in every reachable state`(model: Model) {
        expectThat(Tlc.run(model).violatedInvariant).isNull()
    }

    @ParameterizedTest
    @MethodSource("variants")
    fun `the invariant is violated when one rule is disabled`(model: Model) {
        expectThat(Tlc.run(model).violatedInvariant).isEqualTo(model.invariant)
    }

    @ParameterizedTest
    @MethodSource("reachable")
    fun `the modelled action is reachable`(model: Model) {
        expectThat(Tlc.run(model).violatedInvariant).isEqualTo(model.invariant)
    }

    private companion object {
        @JvmStatic
        fun complete() = StateSpaces.complete

        @JvmStatic
        fun variants() = StateSpaces.variants

        @JvmStatic
        fun reachable() = StateSpaces.reachable
    }
}
