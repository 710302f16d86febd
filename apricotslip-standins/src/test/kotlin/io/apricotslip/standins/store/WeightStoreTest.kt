package io.apricotslip.standins.store

import io.apricotslip.standins.VirtualLoop
import io.apricotslip.standins.settings.AdminSettings
import io.apricotslip.standins.settings.StoreSettings
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Rate limit, failures and cancellation of the weight store. Guards against loads that start faster than the
 * configured rate, for instance after an idle time, and against a cancelled load that keeps its turn.
 */
class WeightStoreTest {
    private val settings =
        StoreSettings(port = 0, admin = AdminSettings(0), loadsPerSecond = 2.0, fullSpeedInFlight = 1, maxInFlight = 8)

    private fun store(settings: StoreSettings, time: VirtualLoop) = WeightStore(settings, time.loop)

    @Nested
    inner class `given concurrent loads` {
        @ParameterizedTest
        @CsvSource(
            delimiter = '|',
            value = [
                "2.0 | 1 | 4 | 250,750,1250,1750",
                "2.0 | 2 | 4 | 250,250,750,1250",
                "4.0 | 1 | 3 | 250,500,750",
            ],
        )
        fun `they start at the configured rate once the burst is used up`(
            rate: Double,
            burst: Int,
            loads: Int,
            completedAtMillis: String,
        ) {
            val time = VirtualLoop()
            val store = store(settings.copy(loadsPerSecond = rate, fullSpeedInFlight = burst), time)
            val loaded = List(loads) { time.watch(store.load()) }
            time.advance(10_000)
            expectThat(loaded.map { it.atMillis }).isEqualTo(completedAtMillis.split(",").map { it.toLong() })
        }

        @Test
        fun `an idle time restores the burst but no more than that`() {
            val time = VirtualLoop()
            val store = store(settings, time)
            time.advance(60_000)
            val loaded = List(2) { time.watch(store.load()) }
            time.advance(10_000)
            expectThat(loaded.map { it.atMillis }).isEqualTo(listOf(60_250L, 60_750L))
        }

        @ParameterizedTest
        @CsvSource("1, 250", "8, 250", "16, 500", "40, 1250")
        fun `a load takes proportionally longer beyond the maximum of loads in flight`(inFlight: Int, millis: Long) {
            val time = VirtualLoop()
            val store = store(settings.copy(loadsPerSecond = 1000.0, fullSpeedInFlight = 8), time)
            val loads = List(inFlight) { time.watch(store.load()) }
            time.advance(10_000)
            val queueDelayMillis = maxOf(0, inFlight - 8).toLong()
            val last = loads.last().atMillis!! - queueDelayMillis
            expectThat(last).isEqualTo(millis)
        }
    }

    @Nested
    inner class `given failures` {
        @Test
        fun `as many loads fail as were injected`() {
            val time = VirtualLoop()
            val store = store(settings.copy(fullSpeedInFlight = 3), time)
            store.remainingFailures = 2
            val loads = List(3) { time.watch(store.load()) }
            time.advance(1_000)
            expectThat(loads.map { it.value })
                .isEqualTo(listOf(LoadResult.FAILED, LoadResult.FAILED, LoadResult.LOADED))
            expectThat(store.state()).isEqualTo(StoreState(0, 0, loaded = 1, failed = 2, maxInFlightSeen = 3))
        }
    }

    @Nested
    inner class `given a cancelled load` {
        @Test
        fun `a waiting load is removed from the queue`() {
            val time = VirtualLoop()
            val store = store(settings, time)
            val waiting = List(3) { store.load().subscribe() }
            waiting[1].dispose()
            val last = time.watch(store.load())
            time.advance(5_000)
            expectThat(last.atMillis).isEqualTo(1_250)
            expectThat(store.state().loaded).isEqualTo(3)
        }
    }
}
