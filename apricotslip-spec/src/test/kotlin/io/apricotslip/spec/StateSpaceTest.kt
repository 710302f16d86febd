package io.apricotslip.spec

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

internal class StateSpaceTest {
    @ParameterizedTest
    @MethodSource("complete")
    fun `the protocol keeps its promise`(model: Model) {
        expectThat(Tlc.run(model).violated).isNull()
    }

    @ParameterizedTest
    @MethodSource("variants")
    fun `without one rule the promise is broken`(model: Model) {
        expectThat(Tlc.run(model).violated).isEqualTo(model.invariant)
    }

    @ParameterizedTest
    @MethodSource("reachable")
    fun `the model does something`(model: Model) {
        expectThat(Tlc.run(model).violated).isEqualTo(model.invariant)
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
