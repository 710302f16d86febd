package io.apricotslip.serving.order

import io.apricotslip.serving.Examples.adapter
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.order.AdapterSlots.Step
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class AdapterSlotsTest {
    private val unused: (ServedAdapter) -> Boolean = { false }

    private fun full(capacity: Int = 20) = AdapterSlots(capacity).apply {
        applyReport(List(capacity) { adapter("a$it") }.associateWith { 1L }, now = 0)
    }

    @Test
    fun `many asks at once drop no more adapters than an engine loads at once`() {
        val places = full()
        val dropped = List(30) { places.nextStep(adapter("b$it"), 0, 10, inUse = unused) }
            .filterIsInstance<Step.Unload>()
            .onEach { places.recordUnloadOrdered(it.victim) }
        // Each ask takes its step before the next one is looked at, as the orders do.
        val more =
            List(30) {
                places.nextStep(adapter("c$it"), 0, 10, inUse = unused).also { step ->
                    if (step is Step.Unload) places.recordUnloadOrdered(step.victim)
                }
            }
        expectThat(dropped.distinct().size).isLessThanOrEqualTo(4)
        expectThat(more.count { it is Step.Unload }).isLessThanOrEqualTo(4)
        expectThat(places.resident.size).isEqualTo(16)
    }

    @Test
    fun `an adapter in use, or used a moment ago, is not dropped`() {
        val places = full(capacity = 2)
        places.recordUse(adapter("a0"), now = 1_000)
        expectThat(places.nextStep(adapter("b"), 0, 1_100) { it == adapter("a1") }).isEqualTo(Step.Wait)
        expectThat(
            places.nextStep(adapter("b"), 0, 1_400) {
                it == adapter("a1")
            },
        ).isEqualTo(Step.Unload(adapter("a0")))
    }

    @Test
    fun `a load that was accepted keeps its place until it is done`() {
        val places = AdapterSlots(capacity = 1)
        places.recordLoadOrdered(adapter("a"), now = 0)
        expectThat(places.nextStep(adapter("b"), 0, 60_000, inUse = unused)).isEqualTo(Step.Wait)
        places.recordLoaded(adapter("a"), 1, now = 60_000)
        expectThat(places.nextStep(adapter("b"), 0, 61_000, inUse = unused)).isA<Step.Unload>()
    }

    @Test
    fun `a markMissing adapter is loaded again and never frees its place`() {
        val places = full(capacity = 1)
        places.markMissing(adapter("a0"))
        expectThat(places.resident.size).isEqualTo(0)
        expectThat(places.nextStep(adapter("a0"), 0, 1_000, inUse = unused)).isEqualTo(Step.Load)
        expectThat(places.nextStep(adapter("b"), 0, 1_000, inUse = unused)).isA<Step.Unload>()
    }

    @Test
    fun `a newer version replaces an older one in its own place`() {
        val places = full(capacity = 1)
        expectThat(places.nextStep(adapter("a0"), 2, 1_000, inUse = unused)).isEqualTo(Step.Load)
    }

    /** Plays asks, answers and refusals in random order against an engine that counts what it is ordered to hold. */
    @Test
    fun `an engine is never ordered to hold more than it has places`() {
        for (seed in 1..200) {
            val random = Random(seed)
            val places = AdapterSlots(capacity = 6)
            val engine = HashSet<ServedAdapter>()
            val loading = HashSet<ServedAdapter>()
            val dropping = HashSet<ServedAdapter>()
            repeat(400) { now ->
                val wanted = adapter("a${random.nextInt(30)}")
                when (val step = places.nextStep(wanted, 0, now * 50L) { random.nextInt(4) == 0 }) {
                    Step.Load -> {
                        places.recordLoadOrdered(wanted, now * 50L)
                        engine.add(wanted)
                        loading.add(wanted)
                    }
                    is Step.Unload -> {
                        places.recordUnloadOrdered(step.victim)
                        dropping.add(step.victim)
                    }
                    Step.Present, Step.Wait -> Unit
                }
                loading.filter { random.nextInt(3) == 0 }.forEach {
                    loading.remove(it)
                    places.recordLoaded(it, 1, now * 50L)
                }
                dropping.filter { random.nextInt(3) == 0 }.forEach {
                    dropping.remove(it)
                    engine.remove(it)
                    places.recordUnloaded(it)
                }
                expectThat(engine.size).describedAs("seed $seed step $now").isLessThanOrEqualTo(6)
            }
        }
    }
}
