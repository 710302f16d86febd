package io.apricotslip.safety

import com.github.michaelbull.result.get
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.VmId
import io.apricotslip.api.manifest.ManifestText
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan

/** Checks ownership ranking, fencing tokens, reservations and the manifest store. */
class RulesTest {
    @Nested
    inner class `ownership ranking` {
        private val servers = (1..4000).map { BackendServerId("e$it") }

        @Test
        fun `ranking is stable across versions`() {
            val ranked = OwnershipRanking.rank(BackendServerId("e1"), vmList(1, "a", "b", "c").vms)
            expectThat(ranked.map { it.value }).isEqualTo(EXPECTED_RANKING)
        }

        @Test
        fun `owners are distributed in proportion to weight`() {
            val vms = listOf(vm("a", 1.0), vm("b", 3.0))
            val share = servers.count { OwnershipRanking.rank(it, vms).first() == VmId("b") } / 4000.0
            expectThat(share).isIn(0.72..0.78)
        }

        @Test
        fun `only engines owned by a departed VM change their owner`() {
            val all = vmList(1, "a", "b", "c").vms
            val remaining = vmList(2, "a", "b").vms
            val moved = servers.filter {
                OwnershipRanking.rank(it, all).first() !=
                    OwnershipRanking.rank(it, remaining).first()
            }
            expectThat(moved.filter { OwnershipRanking.rank(it, all).first() != VmId("c") }).hasSize(0)
        }
    }

    @Nested
    inner class `fencing tokens` {
        private val engine = BackendServerId("e")
        private val counter = FenceCounter()

        @ParameterizedTest
        @CsvSource("2097200, Retry", "3145729, Stop", "1048600, Retry")
        fun `a stale order is retried unless a newer list is in use`(highest: Long, advice: String) {
            counter.next(engine, ListRevision(2))
            val actual = counter.onStaleFence(engine, FenceNumber(highest), ListRevision(2))
            expectThat(actual::class.simpleName).isEqualTo(advice)
            if (actual == FenceAdvice.Retry) {
                expectThat(counter.next(engine, ListRevision(2)).value).isGreaterThan(highest)
            }
        }

        @Test
        fun `tokens increase within a list and across lists`() {
            val numbers = listOf(1L, 1L, 2L, 2L, 3L).map { counter.next(engine, ListRevision(it)).value }
            expectThat(numbers.zipWithNext().filter { (a, b) -> a >= b }).hasSize(0)
        }
    }

    @Nested
    inner class `reservations` {
        private val membership = Membership(VmId("a"), LEASE_NANOS, LEASE_NANOS / 10, startedAt = 0)
        private val calls =
            Reservations(VmId("a"), membership, CLOCK_SKEW_MILLIS, retentionMillis = 60_000, maxKeys = 3)
        private val wall = 1_700_000_000_000L
        private val now = 10 * LEASE_NANOS

        init {
            membership.adopt(vmList(1, "a"), 0)
            membership.leaseHeld(2 * LEASE_NANOS)
        }

        private fun begin(createdAgoMillis: Long, randomBits: Long = 1) =
            calls.begin(uuid7(wall - createdAgoMillis, randomBits), wall, now)

        @ParameterizedTest
        @CsvSource(
            "0, Run",
            "7700, Run",
            "7800, BeforeTenure",
            "59999, BeforeTenure",
            "60000, Expired",
            "-200, Run",
            "-201, FromFuture",
        )
        fun `decision depends on the age of the key`(createdAgoMillis: Long, decision: String) {
            expectThat(begin(createdAgoMillis)::class.simpleName).isEqualTo(decision)
        }

        @ParameterizedTest
        @CsvSource("not-a-key", "1-1-7000-8000-1", "0191e8a0-0000-4000-8000-000000000000")
        fun `keys other than UUID version 7 are rejected`(key: String) {
            expectThat(calls.begin(key, wall, now)).isA<ReservationDecision.BadKey>()
        }

        @Test
        fun `a repeated key gets the stored answer`() {
            val key = uuid7(wall, 1)
            val answer = StoredAnswer.Completed(
                201,
                "application/json",
                "{}".toByteArray(),
                BackendServerId("booking-1"),
            )
            calls.begin(key, wall, now)
            expectThat(calls.begin(key, wall, now)).isEqualTo(ReservationDecision.InProgress)
            calls.completed(key, answer)
            expectThat(calls.begin(key.uppercase(), wall, now)).isEqualTo(ReservationDecision.Repeat(answer))
        }

        @Test
        fun `a lost answer stays unknown and a call that did not run may be retried`() {
            val (lost, never) = listOf(uuid7(wall, 1), uuid7(wall, 2))
            listOf(lost, never).forEach { calls.begin(it, wall, now) }
            calls.outcomeUnknown(lost)
            calls.notRun(lost)
            calls.notRun(never)
            expectThat(calls.begin(lost, wall, now)).isEqualTo(ReservationDecision.Repeat(StoredAnswer.Unknown))
            expectThat(calls.begin(never, wall, now)).isEqualTo(ReservationDecision.Run)
        }

        @Test
        fun `keys dropped at the size limit never run again`() {
            (0L..9L).forEach { begin(createdAgoMillis = 100 - it, randomBits = it) }
            expectThat(calls.size).isLessThan(4)
            expectThat(begin(createdAgoMillis = 100, randomBits = 0)).isEqualTo(ReservationDecision.Expired)
        }
    }

    @Nested
    inner class `manifest store` {
        private fun text(revision: Long) = """{"revision":$revision,"models":[],"adapters":[],"engines":[],
                "store":{"loadsPerSecond":1.0,"fullSpeedInFlight":1,"maxInFlight":1}}"""

        @ParameterizedTest
        @CsvSource("'1,2', 2", "'2,1', 2", "'2,0,3', 3", "'3,3', 3", "'0', 0")
        fun `only a valid manifest with a higher revision is activated`(offered: String, active: Long) {
            val store = ManifestStore()
            offered.split(",").forEach { store.offer(text(it.toLong()), it.toLong(), "platform", 0) }
            expectThat(store.revision.value).isEqualTo(active)
        }

        @Test
        fun `refused manifests are kept once each, up to the limit`() {
            val store = ManifestStore(maxRefused = 2)
            listOf(1L, 1L, 2L, 3L).forEach { store.offer("{", it, "platform", it) }
            expectThat(store.refused.map { it.publishedRevision }).isEqualTo(listOf(3L, 2L))
            expectThat(ManifestText.read(text(1)).get()?.revision?.value).isEqualTo(1)
        }
    }

    private companion object {
        val EXPECTED_RANKING = listOf("a", "b", "c")
    }
}
