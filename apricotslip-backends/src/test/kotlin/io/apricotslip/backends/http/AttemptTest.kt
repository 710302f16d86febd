package io.apricotslip.backends.http

import io.apricotslip.api.outcome.Certainty
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class AttemptTest {
    @Test
    fun `an abandoned attempt is not run and can not start`() {
        val attempt = Attempt()
        expectThat(attempt.abandon()).isEqualTo(Certainty.NOT_RUN)
        expectThat(attempt.tryStart()).isFalse()
        expectThat(attempt.abandon()).isEqualTo(Certainty.NOT_RUN)
    }

    @Test
    fun `a started attempt is unknown when abandoned and can not start again`() {
        val attempt = Attempt()
        expectThat(attempt.tryStart()).isTrue()
        expectThat(attempt.tryStart()).isFalse()
        expectThat(attempt.abandon()).isEqualTo(Certainty.UNKNOWN)
    }
}
