package io.apricotslip.standins.engine

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.manifest.FenceCheck
import io.apricotslip.api.manifest.WhenFull
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.time.Duration

/**
 * Orders to an engine: fencing, adapter slots, loads, evictions, reports and restarts. Guards against an engine that
 * executes an order with a stale fencing number, evicts an adapter in use without counting the violation, or lets a
 * load from before a restart take effect after it.
 */
class EngineOrdersTest {
    @Nested
    inner class `given orders with fencing numbers` {
        @ParameterizedTest
        @CsvSource(
            "CHECKED, 5, 5, true",
            "CHECKED, 5, 6, true",
            "CHECKED, 5, 4, false",
            "IGNORED, 5, 4, true",
        )
        fun `an order with a lower number is refused only if the engine checks fencing numbers`(
            check: FenceCheck,
            first: Long,
            second: Long,
            isExecuted: Boolean,
        ) {
            val harness = EngineHarness(plainSettings.copy(fence = check))
            harness.load(a1, first)
            harness.time.advance(250)
            val answer = harness.engine.evict(a1, second)
            if (isExecuted) {
                expectThat(answer).isA<OrderAnswer.Done>()
            } else {
                expectThat(answer).isEqualTo(OrderAnswer.StaleFence(first))
                expectThat(harness.engine.state().report.adapters)
                    .isEqualTo(listOf(ReportedSlot("a", "v1", 0, SlotState.RESIDENT)))
            }
        }

        @Test
        fun `a refused order is counted as stale`() {
            val harness = EngineHarness()
            harness.load(a1, 5)
            harness.load(b1, 4)
            expectThat(harness.engine.state().staleOrders).isEqualTo(1)
        }
    }

    @Nested
    inner class `given a full engine` {
        @Test
        fun `an engine that refuses when full keeps its adapters`() {
            val harness = EngineHarness()
            harness.loadAll(a1, b1)
            expectThat(harness.load(c1).value).isEqualTo(OrderAnswer.Full)
            expectThat(harness.engine.state().evictions).isEqualTo(0)
        }

        @ParameterizedTest
        @CsvSource("'', a, 0", "a, b, 0", "'a,b', a, 1")
        fun `an engine that evicts when full picks the least recently used idle adapter, else one in use`(
            inUse: String,
            evictedAdapter: String,
            violations: Long,
        ) {
            val harness = EngineHarness(plainSettings.copy(whenFull = WhenFull.EVICTS))
            harness.loadAll(a1, b1)
            inUse.split(",").filter { it.isNotEmpty() }.forEach {
                harness.start("r-$it", if (it == "a") a1 else b1, tokens = 50)
            }
            val answer = harness.load(c1)
            harness.time.advance(250)
            expectThat(answer.value).isA<OrderAnswer.Done>()
            val evicted = harness.history.single { it.kind == EventKind.EVICT }
            expectThat(evicted.adapter).isEqualTo(evictedAdapter)
            expectThat(harness.engine.state()) {
                get { ownEvictions }.isEqualTo(1)
                get { evictionsInUse }.isEqualTo(violations)
            }
        }

        @Test
        fun `an idle adapter is evicted before one in use, even if it was used more recently`() {
            val harness = EngineHarness(plainSettings.copy(whenFull = WhenFull.EVICTS))
            harness.loadAll(a1, b1)
            harness.start("long", a1, tokens = 100)
            harness.start("short", b1, tokens = 1)
            harness.time.advance(20)
            harness.load(c1)
            expectThat(harness.history.single { it.kind == EventKind.EVICT }.adapter).isEqualTo("b")
        }

        @Test
        fun `adapters that are loading are not evicted to free a slot`() {
            val harness = EngineHarness(plainSettings.copy(whenFull = WhenFull.EVICTS))
            harness.load(a1)
            harness.load(b1)
            expectThat(harness.load(c1).value).isEqualTo(OrderAnswer.Full)
        }
    }

    @Nested
    inner class `given loads` {
        @Test
        fun `two loads of one adapter share one fetch`() {
            val harness = EngineHarness()
            val first = harness.load(a1)
            val second = harness.load(a1)
            harness.time.advance(250)
            expectThat(second.value).isEqualTo(first.value)
            expectThat(harness.engine.state().loads).isEqualTo(1)
        }

        @Test
        fun `a failed load frees its slot`() {
            val harness = EngineHarness()
            harness.engine.remainingLoadFailures = 1
            val failed = harness.load(a1)
            harness.time.advance(250)
            expectThat(failed.value).isEqualTo(OrderAnswer.LoadFailed)
            expectThat(harness.engine.state().report.adapters).isEqualTo(emptyList())
            val retried = harness.load(a1)
            harness.time.advance(250)
            expectThat(retried.value).isA<OrderAnswer.Done>()
        }

        @Test
        fun `loading a resident adapter changes nothing`() {
            val harness = EngineHarness()
            harness.loadAll(a1)
            val sequence = harness.engine.state().report.sequence
            expectThat(harness.load(a1).value).isEqualTo(OrderAnswer.Done(sequence))
        }
    }

    @Nested
    inner class `given an evict order` {
        @Test
        fun `evicting an adapter in use breaks its stream and counts as a violation`() {
            val harness = EngineHarness()
            harness.loadAll(a1)
            harness.start("r1")
            val events = harness.read("r1")
            harness.time.advance(20)
            harness.engine.evict(a1, 0)
            harness.time.advance(20)
            expectThat(events.size).isEqualTo(3)
            expectThat(events.last()).isEqualTo("""{"id":"r1","error":"adapter_evicted"}""")
            expectThat(harness.engine.state().evictionsInUse).isEqualTo(1)
            expectThat(harness.history.map { it.kind to it.detail }).containsExactlyInAnyOrder(
                EventKind.LOAD to null,
                EventKind.RUN to null,
                EventKind.EVICT to "in_use",
                EventKind.STREAM_END to "adapter_evicted",
            )
        }

        @Test
        fun `evicting an adapter that is not resident is answered with the current sequence`() {
            val harness = EngineHarness()
            expectThat(harness.engine.evict(a1, 0)).isEqualTo(OrderAnswer.NotResident(0))
        }
    }

    @Nested
    inner class `given a report lag` {
        private val harness = EngineHarness(plainSettings.copy(reportLagMillis = 200))

        @Test
        fun `a change is published after the lag and not before`() {
            harness.load(a1)
            harness.time.advance(199)
            expectThat(harness.time.watch(harness.engine.report(0, Duration.ZERO)).value!!.sequence).isEqualTo(0)
            harness.time.advance(1)
            expectThat(harness.time.watch(harness.engine.report(0, Duration.ZERO)).value!!.sequence).isEqualTo(1)
        }

        @Test
        fun `a waiting reader receives the report with its sequence when it is published`() {
            harness.load(a1)
            harness.time.advance(250)
            val report = harness.time.watch(harness.engine.report(2, Duration.ofSeconds(5)))
            expectThat(report.value).isNull()
            harness.time.advance(200)
            expectThat(report.atMillis).isEqualTo(450)
            expectThat(report.value!!.adapters.single().state).isEqualTo(SlotState.RESIDENT)
        }

        @Test
        fun `a wait that times out returns the published report`() {
            val report = harness.time.watch(harness.engine.report(9, Duration.ofMillis(100)))
            harness.time.advance(100)
            expectThat(report.value!!.sequence).isEqualTo(0)
        }
    }

    @Nested
    inner class `given a restart` {
        @Test
        fun `all state is dropped, and orders are refused until startup completes`() {
            val harness = EngineHarness(plainSettings.copy(reportLagMillis = 0))
            harness.load(a1, fence = 7)
            harness.time.advance(250)
            harness.start("r1")
            val before = harness.engine.state().report
            harness.engine.restart(Duration.ofMillis(500))
            val after = harness.time.watch(harness.engine.report(0, Duration.ZERO)).value!!
            expectThat(after.incarnation > before.incarnation).isEqualTo(true)
            expectThat(after).isEqualTo(Report(0, after.incarnation, 2, 2, 0, 0, 0, emptyList()))
            expectThat(harness.load(a1, 1).value).isEqualTo(OrderAnswer.Starting)
            expectThat(harness.start("r2")).isEqualTo(refused(StartAnswer.Reason.STARTING))
            harness.time.advance(500)
            expectThat(harness.start("r2")).isEqualTo(refused(StartAnswer.Reason.ADAPTER_NOT_RESIDENT))
        }

        @Test
        fun `a load from before the restart has no effect after it`() {
            val harness = EngineHarness()
            harness.load(a1)
            harness.time.advance(100)
            harness.engine.restart(Duration.ZERO)
            harness.time.advance(1)
            val retried = harness.load(a1)
            harness.time.advance(249)
            expectThat(retried.value).isNull()
            harness.time.advance(1)
            expectThat(retried.value).isA<OrderAnswer.Done>()
            expectThat(harness.engine.state().loads).isEqualTo(1)
        }
    }
}
