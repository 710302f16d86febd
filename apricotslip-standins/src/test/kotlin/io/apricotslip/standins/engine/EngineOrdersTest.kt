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
        fun `an order is obeyed or refused as the engine checks`(
            check: FenceCheck,
            first: Long,
            second: Long,
            obeyed: Boolean,
        ) {
            val e = VirtualEngine(plainSettings.copy(fence = check))
            e.load(a1, first)
            e.time.advance(250)
            val answer = e.engine.evict(a1, second)
            if (obeyed) {
                expectThat(answer).isA<OrderAnswer.Done>()
            } else {
                expectThat(answer).isEqualTo(OrderAnswer.StaleFence(first))
                expectThat(
                    e.engine.state().report.adapters,
                ).isEqualTo(listOf(ReportedSlot("a", "v1", 0, SlotState.RESIDENT)))
            }
        }

        @Test
        fun `a refused order is counted`() {
            val e = VirtualEngine()
            e.load(a1, 5)
            e.load(b1, 4)
            expectThat(e.engine.state().staleOrders).isEqualTo(1)
        }
    }

    @Nested
    inner class `given a full engine` {
        @Test
        fun `one that refuses keeps its adapters`() {
            val e = VirtualEngine()
            e.resident(a1, b1)
            expectThat(e.load(c1).value).isEqualTo(OrderAnswer.Full)
            expectThat(e.engine.state().evictions).isEqualTo(0)
        }

        @ParameterizedTest
        @CsvSource("'', a, 0", "a, b, 0", "'a,b', a, 1")
        fun `one that evicts takes the least recently used idle adapter, else one in use`(
            inUse: String,
            victim: String,
            violations: Long,
        ) {
            val e = VirtualEngine(plainSettings.copy(whenFull = WhenFull.EVICTS))
            e.resident(a1, b1)
            inUse.split(",").filter { it.isNotEmpty() }.forEach {
                e.start(
                    "r-$it",
                    if (it ==
                        "a"
                    ) {
                        a1
                    } else {
                        b1
                    },
                    tokens = 50,
                )
            }
            val answer = e.load(c1)
            e.time.advance(250)
            expectThat(answer.value).isA<OrderAnswer.Done>()
            val evicted = e.history.single { it.kind == EventKind.EVICT }
            expectThat(evicted.adapter).isEqualTo(victim)
            expectThat(e.engine.state()) {
                get { ownEvictions }.isEqualTo(1)
                get { evictionsInUse }.isEqualTo(violations)
            }
        }

        @Test
        fun `an idle adapter is taken before one in use, though it was used later`() {
            val e = VirtualEngine(plainSettings.copy(whenFull = WhenFull.EVICTS))
            e.resident(a1, b1)
            e.start("long", a1, tokens = 100)
            e.start("short", b1, tokens = 1)
            e.time.advance(20)
            e.load(c1)
            expectThat(e.history.single { it.kind == EventKind.EVICT }.adapter).isEqualTo("b")
        }

        @Test
        fun `adapters that load are not evicted to make room`() {
            val e = VirtualEngine(plainSettings.copy(whenFull = WhenFull.EVICTS))
            e.load(a1)
            e.load(b1)
            expectThat(e.load(c1).value).isEqualTo(OrderAnswer.Full)
        }
    }

    @Nested
    inner class `given loads` {
        @Test
        fun `two loads of one adapter share one fetch`() {
            val e = VirtualEngine()
            val first = e.load(a1)
            val second = e.load(a1)
            e.time.advance(250)
            expectThat(second.value).isEqualTo(first.value)
            expectThat(e.engine.state().loads).isEqualTo(1)
        }

        @Test
        fun `a failed load frees its slot`() {
            val e = VirtualEngine()
            e.engine.loadFailuresToCome = 1
            val failed = e.load(a1)
            e.time.advance(250)
            expectThat(failed.value).isEqualTo(OrderAnswer.LoadFailed)
            expectThat(e.engine.state().report.adapters).isEqualTo(emptyList())
            val again = e.load(a1)
            e.time.advance(250)
            expectThat(again.value).isA<OrderAnswer.Done>()
        }

        @Test
        fun `loading a resident adapter changes nothing`() {
            val e = VirtualEngine()
            e.resident(a1)
            val sequence = e.engine.state().report.sequence
            expectThat(e.load(a1).value).isEqualTo(OrderAnswer.Done(sequence))
        }
    }

    @Nested
    inner class `given an evict` {
        @Test
        fun `of an adapter in use it breaks the stream and is a violation`() {
            val e = VirtualEngine()
            e.resident(a1)
            e.start("r1")
            val events = e.read("r1")
            e.time.advance(20)
            e.engine.evict(a1, 0)
            e.time.advance(20)
            expectThat(events.size).isEqualTo(3)
            expectThat(events.last()).isEqualTo("""{"id":"r1","error":"adapter_evicted"}""")
            expectThat(e.engine.state().evictionsInUse).isEqualTo(1)
            expectThat(e.history.map { it.kind to it.detail }).containsExactlyInAnyOrder(
                EventKind.LOAD to null,
                EventKind.RUN to null,
                EventKind.EVICT to "in_use",
                EventKind.STREAM_END to "adapter_evicted",
            )
        }

        @Test
        fun `of an adapter that is not resident says so with the sequence`() {
            val e = VirtualEngine()
            expectThat(e.engine.evict(a1, 0)).isEqualTo(OrderAnswer.NotResident(0))
        }
    }

    @Nested
    inner class `given a report lag` {
        private val e = VirtualEngine(plainSettings.copy(reportLagMillis = 200))

        @Test
        fun `a change shows after the lag and not before`() {
            e.load(a1)
            e.time.advance(199)
            expectThat(e.time.watch(e.engine.report(0, Duration.ZERO)).value!!.sequence).isEqualTo(0)
            e.time.advance(1)
            expectThat(e.time.watch(e.engine.report(0, Duration.ZERO)).value!!.sequence).isEqualTo(1)
        }

        @Test
        fun `a waiting reader gets the report of its sequence when it is published`() {
            e.load(a1)
            e.time.advance(250)
            val report = e.time.watch(e.engine.report(2, Duration.ofSeconds(5)))
            expectThat(report.value).isNull()
            e.time.advance(200)
            expectThat(report.atMillis).isEqualTo(450)
            expectThat(report.value!!.adapters.single().state).isEqualTo(SlotState.RESIDENT)
        }

        @Test
        fun `a wait that is over gives the report that is published`() {
            val report = e.time.watch(e.engine.report(9, Duration.ofMillis(100)))
            e.time.advance(100)
            expectThat(report.value!!.sequence).isEqualTo(0)
        }
    }

    @Nested
    inner class `given a restart` {
        @Test
        fun `everything is gone, and orders are refused until it is over`() {
            val e = VirtualEngine(plainSettings.copy(reportLagMillis = 0))
            e.load(a1, fence = 7)
            e.time.advance(250)
            e.start("r1")
            val before = e.engine.state().report
            e.engine.restart(Duration.ofMillis(500))
            val after = e.time.watch(e.engine.report(0, Duration.ZERO)).value!!
            expectThat(after.incarnation > before.incarnation).isEqualTo(true)
            expectThat(after).isEqualTo(Report(0, after.incarnation, 2, 2, 0, 0, 0, emptyList()))
            expectThat(e.load(a1, 1).value).isEqualTo(OrderAnswer.Starting)
            expectThat(e.start("r2")).isEqualTo(refused(StartAnswer.Reason.STARTING))
            e.time.advance(500)
            expectThat(e.start("r2")).isEqualTo(refused(StartAnswer.Reason.ADAPTER_NOT_RESIDENT))
        }

        @Test
        fun `a load under way does not come in afterwards`() {
            val e = VirtualEngine()
            e.load(a1)
            e.time.advance(100)
            e.engine.restart(Duration.ZERO)
            e.time.advance(1)
            val again = e.load(a1)
            e.time.advance(249)
            expectThat(again.value).isNull()
            e.time.advance(1)
            expectThat(again.value).isA<OrderAnswer.Done>()
            expectThat(e.engine.state().loads).isEqualTo(1)
        }
    }
}
