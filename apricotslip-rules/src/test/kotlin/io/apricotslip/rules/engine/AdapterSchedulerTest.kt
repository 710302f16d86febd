package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.manifest.WhenFull
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.work.WorkClass
import io.apricotslip.rules.store.StoreBudget
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue

private const val SECOND = 1_000_000_000L

internal class FakeBudget(var loads: Int = 1_000) : StoreBudget {
    override fun tryAcquire(now: Long): Boolean = (loads > 0).also { if (it) loads -= 1 }

    override fun onLoadEnded(now: Long) = Unit

    override fun nextAvailableAt(now: Long): Long = if (loads > 0) now else Long.MAX_VALUE
}

class AdapterSchedulerTest {
    private val budget = FakeBudget()

    private fun scheduler(slots: Int = 2, batch: Int = 4, options: SchedulerOptions = SchedulerOptions()) =
        AdapterScheduler(BackendServerId("e1"), slots, batch, WhenFull.REFUSES, options)

    private fun adapter(name: String) = AdapterVersion.parse("$name@v1")!!

    private fun work(id: String, adapter: String, workClass: WorkClass, at: Long = 0, deadline: Long = 9_999) =
        WorkItem(RequestId(id), adapter(adapter), workClass, CustomerId("c"), at * SECOND, deadline * SECOND, 10)

    private fun text(action: EngineAction): String = when (action) {
        is EngineAction.Start -> "start ${action.work.id}"
        is EngineAction.Load -> "load ${action.adapter.adapter}"
        is EngineAction.Evict -> "evict ${action.adapter.adapter}"
        is EngineAction.Refuse -> "refuse ${action.work.id} ${action.code.label}"
    }

    private fun AdapterScheduler.turn(at: Long) = decide(at * SECOND, budget).map(::text)

    private fun AdapterScheduler.reside(vararg names: String) = reset(names.map(::adapter), 0)

    @Nested
    inner class `given waiting work on resident adapters` {
        @ParameterizedTest
        @CsvSource(
            "DEFERRABLE:0 PLAN:1 INTERACTIVE:2, 3, r2 r1",
            "PLAN:0 INTERACTIVE:2, 3, r1 r0",
            "PLAN:0 INTERACTIVE:45, 45, r0 r1",
            "DEFERRABLE:0 PLAN:1, 601, r1 r0",
            "INTERACTIVE:3 INTERACTIVE:1, 3, r1 r0",
        )
        fun `the most urgent starts first and long waits raise it`(classes: String, now: Long, order: String) {
            val scheduler = scheduler(batch = 2, options = SchedulerOptions(interactiveReserve = 0.0))
            scheduler.reside("a")
            classes.split(" ").forEachIndexed { i, text ->
                val (name, at) = text.split(":")
                scheduler.enqueue(work("r$i", "a", WorkClass.valueOf(name), at.toLong(), 9_999), at.toLong() * SECOND)
            }
            expectThat(scheduler.turn(now)).isEqualTo(order.split(" ").map { "start $it" })
        }

        @Test
        fun `no more start than the batch holds`() {
            val scheduler = scheduler(batch = 2)
            scheduler.reside("a")
            repeat(3) { scheduler.enqueue(work("r$it", "a", WorkClass.PLAN), 0) }
            expectThat(scheduler.turn(0).size).isEqualTo(2)
            scheduler.onFinished(RequestId("r0"), 10, SECOND)
            expectThat(scheduler.turn(1)).containsExactly("start r2")
        }

        @Test
        fun `deferrable work leaves places of the batch free`() {
            val scheduler = scheduler(batch = 4, options = SchedulerOptions(interactiveReserve = 0.25))
            scheduler.reside("a")
            repeat(4) { scheduler.enqueue(work("r$it", "a", WorkClass.DEFERRABLE), 0) }
            expectThat(scheduler.turn(0).size).isEqualTo(3)
        }

        @Test
        fun `a refused start waits again`() {
            val scheduler = scheduler()
            scheduler.reside("a")
            scheduler.enqueue(work("r0", "a", WorkClass.PLAN), 0)
            scheduler.turn(0)
            scheduler.onStartRefused(RequestId("r0"), adapterMissing = true, SECOND)
            expectThat(scheduler.turn(1)).containsExactly("load a")
        }
    }

    @Nested
    inner class `given adapters that are not resident` {
        @Test
        fun `one load serves all that wait`() {
            val scheduler = scheduler()
            repeat(3) { scheduler.enqueue(work("r$it", "a", WorkClass.INTERACTIVE), 0) }
            expectThat(scheduler.turn(0)).containsExactly("load a")
            expectThat(scheduler.turn(0)).isEmpty()
            scheduler.onLoaded(adapter("a"), SECOND)
            expectThat(scheduler.turn(1)).containsExactly("start r0", "start r1", "start r2")
        }

        @ParameterizedTest
        @CsvSource(
            "DEFERRABLE:a DEFERRABLE:a PLAN:b INTERACTIVE:c, load c",
            "DEFERRABLE:a PLAN:b, load b",
            "PLAN:a PLAN:b PLAN:b, load b",
            "DEFERRABLE:a, load a",
        )
        fun `the most urgent is loaded first, then the one for which more wait`(works: String, first: String) {
            budget.loads = 1
            val scheduler = scheduler()
            works.split(" ").forEachIndexed { i, text ->
                val (name, adapter) = text.split(":")
                scheduler.enqueue(work("r$i", adapter, WorkClass.valueOf(name)), 0)
            }
            expectThat(scheduler.turn(0)).containsExactly(first)
        }

        @Test
        fun `a failed load backs off without blocking others`() {
            val scheduler = scheduler()
            scheduler.enqueue(work("r0", "a", WorkClass.INTERACTIVE), 0)
            scheduler.turn(0)
            scheduler.onLoadFailed(adapter("a"), 0)
            scheduler.enqueue(work("r1", "b", WorkClass.DEFERRABLE), 0)
            expectThat(scheduler.turn(0)).containsExactly("load b")
            expectThat(scheduler.wakeAt(0)).isGreaterThan(0)
            expectThat(scheduler.turn(1)).containsExactly("load a")
        }

        @Test
        fun `the first load after an outage of the store ends the waits of all`() {
            val scheduler = scheduler(slots = 4)
            val names = listOf("a", "b", "c", "d")
            names.forEach { scheduler.enqueue(work("r$it", it, WorkClass.INTERACTIVE), 0) }
            scheduler.turn(0)
            names.dropLast(1).forEach { scheduler.onLoadFailed(adapter(it), 0) }
            expectThat(scheduler.turn(0)).isEmpty()
            scheduler.onLoaded(adapter("d"), 0)
            expectThat(scheduler.turn(0)).containsExactly("start rd", "load a", "load b", "load c")
        }

        @Test
        fun `nothing is loaded or evicted while orders are not allowed`() {
            val scheduler = scheduler()
            scheduler.setOrdersAllowed(false)
            scheduler.enqueue(work("r0", "a", WorkClass.INTERACTIVE), 0)
            expectThat(scheduler.turn(0)).isEmpty()
            expectThat(scheduler.status(0).evictable).isFalse()
        }
    }

    @Nested
    inner class `given a full engine` {
        private fun full(): AdapterScheduler {
            val scheduler = scheduler()
            scheduler.reside("a", "b")
            repeat(3) { scheduler.enqueue(work("a$it", "a", WorkClass.INTERACTIVE), 0) }
            scheduler.enqueue(work("b0", "b", WorkClass.INTERACTIVE), 0)
            scheduler.turn(0)
            return scheduler
        }

        private fun AdapterScheduler.end(vararg ids: String) = ids.forEach { onFinished(RequestId(it), 10, SECOND) }

        @Test
        fun `the least popular idle adapter is evicted, not the least recent`() {
            val scheduler = full()
            scheduler.end("a0", "a1", "a2", "b0")
            scheduler.enqueue(work("c0", "c", WorkClass.INTERACTIVE, 1), SECOND)
            expectThat(scheduler.turn(1)).containsExactly("evict b")
            expectThat(scheduler.turn(1)).isEmpty()
            scheduler.onEvicted(adapter("b"), SECOND)
            expectThat(scheduler.turn(1)).containsExactly("load c")
        }

        @Test
        fun `an adapter in use is never evicted`() {
            val scheduler = full()
            scheduler.end("a0", "a1", "a2")
            scheduler.enqueue(work("c0", "c", WorkClass.INTERACTIVE, 1), SECOND)
            expectThat(scheduler.turn(1)).containsExactly("evict a")
        }

        @Test
        fun `an adapter in use by another VM is never evicted`() {
            val scheduler = full()
            scheduler.end("a0", "a1", "a2", "b0")
            scheduler.updateForeignUse(mapOf(adapter("b") to 1), SECOND)
            scheduler.enqueue(work("c0", "c", WorkClass.INTERACTIVE, 1), SECOND)
            expectThat(scheduler.turn(1)).containsExactly("evict a")
        }

        @Test
        fun `nothing starts on an adapter that is being evicted`() {
            val scheduler = full()
            scheduler.end("b0")
            scheduler.enqueue(work("c0", "c", WorkClass.INTERACTIVE, 1), SECOND)
            scheduler.turn(1)
            scheduler.enqueue(work("b1", "b", WorkClass.INTERACTIVE, 1), SECOND)
            expectThat(scheduler.turn(1)).isEmpty()
            scheduler.onEvictRefused(adapter("b"), SECOND)
            expectThat(scheduler.turn(1)).containsExactly("start b1")
        }

        @Test
        fun `work that waits long for a slot gets one although all adapters stay in use`() {
            val scheduler = full()
            scheduler.enqueue(work("c0", "c", WorkClass.INTERACTIVE, 0), 0)
            scheduler.turn(2)
            scheduler.enqueue(work("b1", "b", WorkClass.INTERACTIVE, 2), 2 * SECOND)
            scheduler.end("b0")
            expectThat(scheduler.turn(3)).containsExactly("evict b")
        }

        @Test
        fun `an adapter is started again once the work that waited for its slot is gone`() {
            val scheduler = scheduler(slots = 1)
            scheduler.reside("a")
            scheduler.enqueue(work("r1", "a", WorkClass.INTERACTIVE), 0)
            scheduler.turn(0)
            scheduler.enqueue(work("r2", "b", WorkClass.INTERACTIVE), 0)
            scheduler.turn(20)
            scheduler.cancel(RequestId("r2"), 20 * SECOND)
            scheduler.enqueue(work("r3", "a", WorkClass.INTERACTIVE, at = 21), 21 * SECOND)
            expectThat(scheduler.turn(21)).containsExactly("start r3")
        }

        @Test
        fun `a cold restart leaves nothing resident`() {
            val scheduler = full()
            scheduler.reset(emptyList(), SECOND)
            scheduler.end("a0", "a1", "a2", "b0")
            scheduler.enqueue(work("a3", "a", WorkClass.INTERACTIVE, 1), SECOND)
            expectThat(scheduler.turn(1)).containsExactly("load a")
        }
    }

    @Nested
    inner class `given deferrable work` {
        private fun AdapterScheduler.defer(vararg adapters: String) = adapters.forEachIndexed { i, name ->
            enqueue(work("$name$i", name, WorkClass.DEFERRABLE), 0)
        }

        @ParameterizedTest
        @CsvSource("8, load a", "2, load c")
        fun `the largest group is loaded while the batch has room and the smallest while it is full`(
            batch: Int,
            load: String,
        ) {
            budget.loads = 1
            val scheduler = scheduler(slots = 8, batch, SchedulerOptions(interactiveReserve = 0.0))
            scheduler.reside("x")
            scheduler.defer("x", "x", "a", "a", "a", "b", "b", "c")
            expectThat(scheduler.turn(0)).containsExactly("start x0", "start x1", load)
        }

        @Test
        fun `a slot is left to urgent work`() {
            val scheduler = scheduler(slots = 2)
            scheduler.defer("a", "b", "c")
            expectThat(scheduler.turn(0)).containsExactly("load a")
            scheduler.enqueue(work("r0", "d", WorkClass.INTERACTIVE), 0)
            expectThat(scheduler.turn(0)).containsExactly("load d")
        }

        @Test
        fun `it is treated as a plan when its deadline is near`() {
            budget.loads = 1
            val scheduler = scheduler()
            scheduler.enqueue(work("r0", "a", WorkClass.PLAN, 9), 9 * SECOND)
            scheduler.enqueue(work("r1", "b", WorkClass.DEFERRABLE, 0, 200), 0)
            expectThat(scheduler.turn(9)).containsExactly("load b")
        }
    }

    @Nested
    inner class `given work that can't be served` {
        @Test
        fun `a full queue sheds deferrable work first`() {
            val scheduler = scheduler(options = SchedulerOptions(queueLimit = 1))
            scheduler.enqueue(work("r0", "a", WorkClass.DEFERRABLE), 0)
            scheduler.enqueue(work("r1", "a", WorkClass.INTERACTIVE), 0)
            val refused = scheduler.decide(0, budget).filterIsInstance<EngineAction.Refuse>().single()
            expectThat(refused.work.id).isEqualTo(RequestId("r0"))
            expectThat(refused.code).isEqualTo(RefusalCode.OVERLOADED)
        }

        @Test
        fun `work that can't start before its deadline is refused before it`() {
            val scheduler = scheduler()
            scheduler.setOrdersAllowed(false)
            scheduler.enqueue(work("r0", "a", WorkClass.PLAN, 0, 5), 0)
            expectThat(scheduler.turn(4)).isEmpty()
            expectThat(scheduler.wakeAt(4 * SECOND)).isEqualTo(5 * SECOND - 250_000_000)
            expectThat(scheduler.decide(5 * SECOND - 250_000_000, budget).map(::text))
                .containsExactly("refuse r0 deadline")
        }

        @Test
        fun `cancelled work never starts`() {
            val scheduler = scheduler()
            scheduler.reside("a")
            scheduler.enqueue(work("r0", "a", WorkClass.PLAN), 0)
            expectThat(scheduler.cancel(RequestId("r0"), 0)).isTrue()
            expectThat(scheduler.cancel(RequestId("r0"), 0)).isFalse()
            expectThat(scheduler.turn(0)).isEmpty()
        }
    }
}
