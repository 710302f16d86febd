package io.apricotslip.rules.limits

import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.work.WorkClass
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class LimitsTest {
    @ParameterizedTest
    @CsvSource(
        "a:INTERACTIVE a:PLAN, a:DEFERRABLE, CUSTOMER_LIMIT",
        "a:INTERACTIVE a:PLAN, b:PLAN, OVERLOADED",
        "a:PLAN, b:DEFERRABLE, ",
    )
    fun `a request beyond a limit is refused with its code`(before: String, next: String, code: RefusalCode?) {
        val limits = AdmissionLimits(AdmissionOptions(perCustomer = 2, interactive = 5, plan = 1, deferrable = 5))
        before.split(" ").forEach { expectThat(admit(limits, it)).isNull() }
        expectThat(admit(limits, next)).isEqualTo(code)
    }

    @Test
    fun `a request is admitted after another one ended`() {
        val limits = AdmissionLimits(AdmissionOptions(perCustomer = 1))
        admit(limits, "a:PLAN")
        limits.release(CustomerId("a"), WorkClass.PLAN)
        expectThat(admit(limits, "a:PLAN")).isNull()
    }

    @ParameterizedTest
    @CsvSource("0, 10", "10, 10", "100, 20")
    fun `retries are limited to a fraction of first attempts`(sent: Int, allowed: Int) {
        val budget = RetryBudget(0.1)
        val before = (1..allowed.coerceAtMost(10)).count { budget.tryAcquire() }
        repeat(sent) { budget.recordRequest() }
        val after = (1..100).count { budget.tryAcquire() }
        expectThat(before + after).isEqualTo(10 + sent / 10)
    }

    private fun admit(limits: AdmissionLimits, text: String): RefusalCode? {
        val (customer, workClass) = text.split(":")
        return limits.tryAdmit(CustomerId(customer), WorkClass.valueOf(workClass), 0)
    }
}
