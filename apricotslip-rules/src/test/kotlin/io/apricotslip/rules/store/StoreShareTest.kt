package io.apricotslip.rules.store

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue

class StoreShareTest {
    private val second = 1_000_000_000L

    private fun countTaken(share: StoreShare, from: Long, to: Long): Int =
        (from..to step 10_000_000L).count { now -> share.tryAcquire(now).also { if (it) share.onLoadEnded(now) } }

    private fun plan(since: Long) = StoreDemand(LoadUrgency.PLAN, since)

    private fun interactive(since: Long) = StoreDemand(LoadUrgency.INTERACTIVE, since)

    @Nested
    inner class `given one VM` {
        @ParameterizedTest
        @CsvSource("2.0, 1.0, 20", "2.0, 0.5, 10", "5.5, 0.2, 11", "5.5, 0.0, 0")
        fun `it takes its share of the rate in ten seconds and no load at the start`(
            rate: Double,
            part: Double,
            loads: Int,
        ) {
            val share = StoreShare(rate, 1, 8, part)
            expectThat(share.tryAcquire(0)).isFalse()
            expectThat(countTaken(share, 0, 10 * second)).isEqualTo(loads)
        }

        @Test
        fun `loads in flight are limited to its share`() {
            val share = StoreShare(100.0, 2, 16, 0.25)
            val taken = (1..1_000L).count { share.tryAcquire(it * 100_000_000L) }
            expectThat(taken).isEqualTo(4)
        }

        @Test
        fun `an idle VM saves up no more than its share of the burst`() {
            val share = StoreShare(2.0, 2, 8, 0.5)
            share.nextAvailableAt(0)
            expectThat(
                (1..10).count {
                    share.tryAcquire(3600 * second).also { _ -> share.onLoadEnded(0) }
                },
            ).isEqualTo(1)
        }
    }

    @Nested
    inner class `given a changed VM list` {
        @ParameterizedTest
        @CsvSource("0.5, 0.25, 5, 3", "0.25, 0.5, 5, 2", "0.25, 0.5, 10, 7")
        fun `a smaller share takes effect at once and a larger one after five seconds`(
            from: Double,
            to: Double,
            seconds: Long,
            loads: Int,
        ) {
            val share = StoreShare(2.0, 1, 8, from)
            share.tryAcquire(0)
            share.resize(to, 0)
            expectThat(countTaken(share, 0, seconds * second)).isLessThanOrEqualTo(loads)
        }
    }

    @Nested
    inner class `given a loan` {
        @Test
        fun `lent loads are subtracted from the lender`() {
            val share = StoreShare(2.0, 1, 8, 1.0)
            share.nextAvailableAt(0)
            expectThat(share.lend(LoanRequest(0.6, LoadUrgency.INTERACTIVE, 0), second + 600_000_000)).isEqualTo(0.6)
            expectThat(share.tryAcquire(second + 600_000_000)).isFalse()
        }

        @Test
        fun `a VM with an unmet demand lends only for a more urgent one`() {
            val share = StoreShare(2.0, 1, 8, 0.1)
            share.nextAvailableAt(0)
            share.tryAcquire(second, plan(second))
            expectThat(share.lend(LoanRequest(0.1, LoadUrgency.PLAN, 0), second)).isEqualTo(0.0)
            expectThat(share.lend(LoanRequest(0.1, LoadUrgency.INTERACTIVE, 0), second)).isEqualTo(0.1)
        }

        @Test
        fun `the borrower can take a load with it`() {
            val share = StoreShare(2.0, 1, 8, 0.1)
            share.tryAcquire(0)
            share.receiveLoan(1.0, 0)
            expectThat(share.tryAcquire(0)).isTrue()
        }
    }

    @Nested
    inner class `given demands of several urgencies` {
        @Test
        fun `a less urgent demand waits after a more urgent one was refused recently`() {
            val share = StoreShare(2.0, 1, 8, 1.0)
            share.tryAcquire(0, interactive(0))
            share.tryAcquire(450_000_000, interactive(0))
            expectThat(share.tryAcquire(500_000_000, plan(0))).isFalse()
            expectThat(share.tryAcquire(500_000_000, interactive(0))).isTrue()
        }

        @Test
        fun `a demand that is not repeated expires`() {
            val share = StoreShare(2.0, 1, 8, 1.0)
            share.tryAcquire(0, interactive(0))
            expectThat(share.tryAcquire(second, plan(0))).isTrue()
        }
    }
}
