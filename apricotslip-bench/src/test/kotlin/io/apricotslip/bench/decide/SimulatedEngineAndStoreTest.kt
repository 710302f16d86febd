package io.apricotslip.bench.decide

import io.apricotslip.api.manifest.StoreEntry
import io.apricotslip.api.work.WorkClass
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import kotlin.random.Random

/** Guards against wrong timing of the simulated weight store and engines, on which all simulated results depend. */
class SimulatedEngineAndStoreTest {
    @ParameterizedTest
    @CsvSource("1, 250", "2, 250", "3, 750", "4, 1250")
    fun `the store starts a burst of loads at once and further loads at its rate`(loads: Int, lastMillis: Long) {
        val loop = EventLoop()
        val store = SimulatedStore(loop, StoreEntry(2.0, 2, 8), Random(1))
        var last = 0L
        repeat(loads) { store.load { last = loop.now } }
        loop.run(seconds(60))
        expectThat(last / NANOS_PER_MILLI).isEqualTo(lastMillis)
    }

    @ParameterizedTest
    @CsvSource("1, 1230", "4, 1320")
    fun `concurrent streams of an engine slow each other down`(streams: Int, millis: Long) {
        val loop = EventLoop()
        var ended = 0L
        val engine = SimulatedEngine(loop, EngineKind.FAST) { _, _ -> ended = loop.now }
        repeat(streams) { engine.start(Arrivals.workItem(it, it, WorkClass.PLAN, 0, 60, 200, 0), 85) }
        loop.run(seconds(60))
        expectThat(ended / NANOS_PER_MILLI).isIn(millis..millis + 1)
    }
}
