package io.apricotslip.backends.http

import io.apricotslip.api.outcome.Certainty
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class AttemptTest {
    @Test
    fun `an attempt given up is not run and never starts`() {
        val attempt = Attempt()
        expectThat(attempt.giveUp()).isEqualTo(Certainty.NOT_RUN)
        expectThat(attempt.start()).isFalse()
        expectThat(attempt.giveUp()).isEqualTo(Certainty.NOT_RUN)
    }

    @Test
    fun `an attempt that started is unknown and starts once`() {
        val attempt = Attempt()
        expectThat(attempt.start()).isTrue()
        expectThat(attempt.start()).isFalse()
        expectThat(attempt.giveUp()).isEqualTo(Certainty.UNKNOWN)
    }
}
