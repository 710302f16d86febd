package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.manifest.WhenFull
import io.apricotslip.api.work.WorkClass
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

/**
 * Runs random event sequences against the scheduler of one engine. Slots and batch are never exceeded, no adapter in
 * use is evicted, and each request starts or is refused exactly once.
 */
class SchedulerProperties {
    private class SimulatedEngine(seed: Long) {
        val random = Random(seed)
        val scheduler = AdapterScheduler(BackendServerId("e"), SLOTS, BATCH, WhenFull.REFUSES, random = Random(seed))
        val budget = FakeBudget()
        val resident = HashSet<AdapterVersion>()
        val loading = ArrayList<AdapterVersion>()
        val evicting = ArrayList<AdapterVersion>()
        val running = HashMap<RequestId, WorkItem>()
        val waiting = HashMap<RequestId, WorkItem>()
        var now = 0L
        private var requestCount = 0

        fun step() {
            now += random.nextLong(400) * 1_000_000
            when (random.nextInt(9)) {
                0, 1, 2 -> arrive()
                3, 4 -> running.keys.randomOrNull(random)?.let(::finish)
                5 -> loading.removeFirstOrNull()?.let(::endLoad)
                6 -> evicting.removeFirstOrNull()?.let(::endEvict)
                7 -> if (random.nextInt(20) == 0) restart()
                else -> waiting.keys.randomOrNull(random)?.let(::cancel)
            }
            scheduler.decide(now, budget).forEach(::carryOut)
        }

        private fun arrive() {
            val adapter = AdapterVersion.parse("a${random.nextInt(12)}@v")!!
            val workClass = WorkClass.entries.random(random)
            val id = RequestId("r${requestCount++}")
            val work =
                WorkItem(id, adapter, workClass, CustomerId("c"), now, now + random.nextLong(60_000) * 1_000_000, 10)
            waiting[id] = work
            scheduler.enqueue(work, now)
        }

        private fun finish(id: RequestId) {
            running.remove(id)
            scheduler.onFinished(id, 10, now)
        }

        private fun endLoad(adapter: AdapterVersion) {
            if (random.nextInt(5) == 0) return scheduler.onLoadFailed(adapter, now)
            resident += adapter
            scheduler.onLoaded(adapter, now)
        }

        private fun endEvict(adapter: AdapterVersion) {
            if (random.nextInt(5) == 0) return scheduler.onEvictRefused(adapter, now)
            resident -= adapter
            scheduler.onEvicted(adapter, now)
        }

        private fun restart() {
            running.keys.toList().forEach(::finish)
            listOf(resident, loading, evicting).forEach { it.clear() }
            scheduler.reset(emptyList(), now)
        }

        private fun cancel(id: RequestId) {
            expectThat(scheduler.cancel(id, now)).isTrue()
            waiting.remove(id)
        }

        private fun carryOut(action: EngineAction) {
            when (action) {
                is EngineAction.Start -> start(action.work)
                is EngineAction.Load -> loading += action.adapter
                is EngineAction.Evict -> evict(action.adapter)
                is EngineAction.Refuse -> expectThat(waiting.remove(action.work.id)).isEqualTo(action.work)
            }
            expectThat(resident.size + loading.size).isLessThanOrEqualTo(SLOTS)
            expectThat(running.size).isLessThanOrEqualTo(BATCH)
        }

        private fun start(work: WorkItem) {
            expectThat(waiting.remove(work.id)).isEqualTo(work)
            expectThat(work.adapter in resident && work.adapter !in evicting).isTrue()
            running[work.id] = work
        }

        private fun evict(adapter: AdapterVersion) {
            expectThat(adapter in resident && running.values.none { it.adapter == adapter }).isTrue()
            evicting += adapter
        }
    }

    @Property(tries = 200)
    fun limitsHoldAndNoAdapterInUseIsEvictedAndEachRequestStartsOrIsRefusedOnce(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long,
    ) {
        val engine = SimulatedEngine(seed)
        repeat(400) { engine.step() }
    }

    private companion object {
        const val SLOTS = 3
        const val BATCH = 4
    }
}
