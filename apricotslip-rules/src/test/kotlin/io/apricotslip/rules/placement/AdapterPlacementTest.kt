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
        fun `every entry VM ranks an adapter alike`() {
            expectThat(AdapterPlacement().rank(request(1), engines.reversed(), 0))
                .isEqualTo(placement.rank(request(1), engines, 0))
        }

        @Test
        fun `the engine that has the adapter comes first, candidate or not`() {
            val last = placement.rank(request(1), engines, 0).last()
            placement.updateStatus(status(last, 0, listOf(adapter(1))), 0)
            expectThat(placement.rank(request(1), engines, 0).first()).isEqualTo(last)
        }
    }

    @Nested
    inner class `given an engine with the adapter and a full queue` {
        @Test
        fun `a copy is begun elsewhere`() {
            val home = placement.rank(request(1), engines, 0).first()
            placement.updateStatus(status(home, 200, listOf(adapter(1))), 0)
            expectThat(placement.rank(request(1), engines, 0).first()).isNotEqualTo(home)
        }

        @Test
        fun `requests sent since the last status count`() {
            val home = placement.rank(request(1), engines, 0).first()
            placement.updateStatus(status(home, 0, listOf(adapter(1))), 0)
            repeat(200) { placement.recordSent(adapter(1), home, 0) }
            expectThat(placement.rank(request(1), engines, 0).first()).isNotEqualTo(home)
        }
    }

    @Nested
    inner class `given deferrable work` {
        private fun deferrable(number: Int) = PlacementRequest(adapter(number), WorkClass.DEFERRABLE, 100)

        @Test
        fun `homes are spread in proportion to speed`() {
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
            val homes = (1..4_000).groupingBy { placement.rank(deferrable(it), engines, 0).first().value }.eachCount()
            expectThat(homes.getValue("e3").toDouble()).isIn(1_800.0..2_200.0)
        }

        @Test
        fun `an engine with far more than the mean backlog is no home`() {
            val home = placement.rank(deferrable(1), engines, 0).first()
            engines.forEach { placement.updateStatus(status(it.id, if (it.id == home) 50 else 5, emptyList()), 0) }
            expectThat(placement.rank(deferrable(1), engines, 0).first()).isNotEqualTo(home)
        }
    }

    @Nested
    inner class `given an engine that can't evict` {
        @Test
        fun `it is no home for an adapter that it lacks`() {
            val home = placement.rank(request(1), engines, 0).first()
            placement.updateStatus(status(home, 0, emptyList()).copy(evictable = false), 0)
            expectThat(placement.rank(request(1), engines, 0).first()).isNotEqualTo(home)
        }
    }

    @Nested
    inner class `given engines of different speed that have the adapter` {
        @Test
        fun `the faster comes first`() {
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
