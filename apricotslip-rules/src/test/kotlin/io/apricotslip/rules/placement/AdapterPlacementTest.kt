package io.apricotslip.rules.placement

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ModelId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.peer.AdapterUse
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.api.work.WorkClass
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isNotEqualTo

class AdapterPlacementTest {
    private val placement = AdapterPlacement()
    private val engines = (1..5).map {
        EngineEntry(BackendServerId("e$it"), ModelId("m"), ZoneId("z"), "127.0.0.1", 1, 4, 4)
    }

    private fun adapter(number: Int) = AdapterVersion.parse("club-$number@v1")!!

    private fun request(number: Int) = PlacementRequest(adapter(number), WorkClass.INTERACTIVE, 100)

    private fun status(server: BackendServerId, running: Int, adapters: List<AdapterVersion>, speed: Double = 400.0) =
        EngineStatus(server, 4, 4, running, 0, 0, 0, true, speed, adapters.map { AdapterUse(it, 0, 0) })

    @Nested
    inner class `given idle engines` {
        @Test
        fun `all engines are ranked`() {
            expectThat(placement.rank(request(1), engines, 0)).containsExactlyInAnyOrder(engines.map { it.id })
        }

        @Test
        fun `all entry VMs rank the engines for an adapter the same`() {
            expectThat(AdapterPlacement().rank(request(1), engines.reversed(), 0))
                .isEqualTo(placement.rank(request(1), engines, 0))
        }

        @Test
        fun `the engine that has the adapter comes first even if it ranks last`() {
            val last = placement.rank(request(1), engines, 0).last()
            placement.updateStatus(status(last, 0, listOf(adapter(1))), 0)
            expectThat(placement.rank(request(1), engines, 0).first()).isEqualTo(last)
        }
    }

    @Nested
    inner class `given an engine with the adapter and a full queue` {
        @Test
        fun `another engine comes first so that it loads a copy`() {
            val preferred = placement.rank(request(1), engines, 0).first()
            placement.updateStatus(status(preferred, 200, listOf(adapter(1))), 0)
            expectThat(placement.rank(request(1), engines, 0).first()).isNotEqualTo(preferred)
        }

        @Test
        fun `requests sent since the last status are counted`() {
            val preferred = placement.rank(request(1), engines, 0).first()
            placement.updateStatus(status(preferred, 0, listOf(adapter(1))), 0)
            repeat(200) { placement.recordSent(adapter(1), preferred, 0) }
            expectThat(placement.rank(request(1), engines, 0).first()).isNotEqualTo(preferred)
        }
    }

    @Nested
    inner class `given deferrable requests` {
        private fun deferrable(number: Int) = PlacementRequest(adapter(number), WorkClass.DEFERRABLE, 100)

        @Test
        fun `adapters are spread over engines in proportion to speed`() {
            engines.forEach {
                placement.updateStatus(
                    status(
                        it.id,
                        0,
                        emptyList(),
                        if (it.id.value ==
                            "e3"
                        ) {
                            800.0
                        } else {
                            200.0
                        },
                    ),
                    0,
                )
            }
            val preferredCounts =
                (1..4_000).groupingBy { placement.rank(deferrable(it), engines, 0).first().value }.eachCount()
            expectThat(preferredCounts.getValue("e3").toDouble()).isIn(1_800.0..2_200.0)
        }

        @Test
        fun `an engine with a backlog far above the mean is not preferred`() {
            val preferred = placement.rank(deferrable(1), engines, 0).first()
            engines.forEach { placement.updateStatus(status(it.id, if (it.id == preferred) 50 else 5, emptyList()), 0) }
            expectThat(placement.rank(deferrable(1), engines, 0).first()).isNotEqualTo(preferred)
        }
    }

    @Nested
    inner class `given an engine that can't evict` {
        @Test
        fun `it is not preferred for an adapter that it does not have`() {
            val preferred = placement.rank(request(1), engines, 0).first()
            placement.updateStatus(status(preferred, 0, emptyList()).copy(evictable = false), 0)
            expectThat(placement.rank(request(1), engines, 0).first()).isNotEqualTo(preferred)
        }
    }

    @Nested
    inner class `given engines of different speed that have the adapter` {
        @Test
        fun `the fastest engine comes first`() {
            engines.forEach {
                placement.updateStatus(
                    status(
                        it.id,
                        0,
                        listOf(adapter(1)),
                        if (it.id.value ==
                            "e3"
                        ) {
                            800.0
                        } else {
                            200.0
                        },
                    ),
                    0,
                )
            }
            expectThat(placement.rank(request(1), engines, 0).first()).isEqualTo(BackendServerId("e3"))
        }
    }
}
