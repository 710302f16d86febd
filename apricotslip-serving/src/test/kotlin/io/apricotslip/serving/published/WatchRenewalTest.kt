package io.apricotslip.serving.published

import io.apricotslip.serving.published.StoreHistory.Place
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class WatchRenewalTest {
    private val renewal = WatchRenewal()
    private val own = Place(1, 50)

    @Test
    fun `a watch is renewed when others have read further for a while`() {
        renewal.onSent(0)
        expectThat(renewal.isDue(own, Place(1, 51), 1_000)).isFalse()
        expectThat(renewal.isDue(own, Place(1, 51), 1_299)).isFalse()
        expectThat(renewal.isDue(own, Place(1, 51), 1_300)).isTrue()
    }

    @Test
    fun `a watch is renewed when others have read a later era`() {
        renewal.onSent(0)
        renewal.isDue(own, Place(2, 30), 1_000)
        expectThat(renewal.isDue(own, Place(2, 30), 1_300)).isTrue()
    }

    @Test
    fun `a watch is kept while this node has read as far as the others`() {
        renewal.onSent(0)
        expectThat(renewal.isDue(own, own, 5_000)).isFalse()
        renewal.isDue(own, Place(1, 51), 5_100)
        renewal.isDue(Place(1, 51), Place(1, 51), 5_200)
        expectThat(renewal.isDue(Place(1, 51), Place(1, 52), 5_450)).isFalse()
    }

    @Test
    fun `a watch that was just sent has time for its answer`() {
        renewal.onSent(1_000)
        renewal.onEnded()
        expectThat(renewal.isDue(own, Place(1, 51), 2_000)).isFalse()
        renewal.onSent(2_100)
        expectThat(renewal.isDue(own, Place(1, 51), 2_350)).isFalse()
    }

    @Test
    fun `a slow store is not called more often than every two seconds`() {
        renewal.onSent(0)
        val due = (0L..10_000L step 100).filter { now ->
            renewal.isDue(own, Place(1, 51 + now), now).also { if (it) renewal.onSent(now) }
        }
        expectThat(due.zipWithNext().all { (a, b) -> b - a >= 2_000 } && due.size >= 4).isTrue()
    }
}
