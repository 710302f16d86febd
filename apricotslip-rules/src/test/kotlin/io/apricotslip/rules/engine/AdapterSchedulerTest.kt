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

    private fun describe(action: EngineAction): String = when (action) {
        is EngineAction.Start -> "start ${action.work.id}"
        is EngineAction.Load -> "load ${action.adapter.adapter}"
        is EngineAction.Evict -> "evict ${action.adapter.adapter}"
        is EngineAction.Refuse -> "refuse ${action.work.id} ${action.code.label}"
    }

    private fun AdapterScheduler.decideAt(at: Long) = decide(at * SECOND, budget).map(::describe)

    private fun AdapterScheduler.setResident(vararg names: String) = reset(names.map(::adapter), 0)

    @Nested
    inner class `given queued requests for resident adapters` {
        @ParameterizedTest
        @CsvSource(
            "DEFERRABLE:0 PLAN:1 INTERACTIVE:2, 3, r2 r1",
            "PLAN:0 INTERACTIVE:2, 3, r1 r0",
            "PLAN:0 INTERACTIVE:45, 45, r0 r1",
            "DEFERRABLE:0 PLAN:1, 601, r1 r0",
            "INTERACTIVE:3 INTERACTIVE:1, 3, r1 r0",
        )
        fun `the most urgent request starts first and a long wait raises the urgency`(
            classes: String,
            now: Long,
            order: String,
        ) {
            val scheduler = scheduler(batch = 2, options = SchedulerOptions(interactiveReserveRatio = 0.0))
            scheduler.setResident("a")
            classes.split(" ").forEachIndexed { i, text ->
                val (name, at) = text.split(":")
                scheduler.enqueue(work("r$i", "a", WorkClass.valueOf(name), at.toLong(), 9_999), at.toLong() * SECOND)
            }
            expectThat(scheduler.decideAt(now)).isEqualTo(order.split(" ").map { "start $it" })
        }

        @Test
        fun `no more requests start than fit in the batch`() {
            val scheduler = scheduler(batch = 2)
            scheduler.setResident("a")
            repeat(3) { scheduler.enqueue(work("r$it", "a", WorkClass.PLAN), 0) }
            expectThat(scheduler.decideAt(0).size).isEqualTo(2)
            scheduler.onFinished(RequestId("r0"), 10, SECOND)
            expectThat(scheduler.decideAt(1)).containsExactly("start r2")
        }

        @Test
        fun `deferrable requests leave part of the batch free`() {
            val scheduler = scheduler(batch = 4, options = SchedulerOptions(interactiveReserveRatio = 0.25))
            scheduler.setResident("a")
            repeat(4) { scheduler.enqueue(work("r$it", "a", WorkClass.DEFERRABLE), 0) }
            expectThat(scheduler.decideAt(0).size).isEqualTo(3)
        }

        @Test
        fun `a request is queued again when its start is refused`() {
            val scheduler = scheduler()
            scheduler.setResident("a")
            scheduler.enqueue(work("r0", "a", WorkClass.PLAN), 0)
            scheduler.decideAt(0)
            scheduler.onStartRefused(RequestId("r0"), adapterMissing = true, SECOND)
            expectThat(scheduler.decideAt(1)).containsExactly("load a")
        }
    }

    @Nested
    inner class `given adapters that are not resident` {
        @Test
        fun `one load serves all requests that wait for the adapter`() {
            val scheduler = scheduler()
            repeat(3) { scheduler.enqueue(work("r$it", "a", WorkClass.INTERACTIVE), 0) }
            expectThat(scheduler.decideAt(0)).containsExactly("load a")
            expectThat(scheduler.decideAt(0)).isEmpty()
            scheduler.onLoaded(adapter("a"), SECOND)
            expectThat(scheduler.decideAt(1)).containsExactly("start r0", "start r1", "start r2")
        }

        @ParameterizedTest
        @CsvSource(
            "DEFERRABLE:a DEFERRABLE:a PLAN:b INTERACTIVE:c, load c",
            "DEFERRABLE:a PLAN:b, load b",
            "PLAN:a PLAN:b PLAN:b, load b",
            "DEFERRABLE:a, load a",
        )
        fun `the adapter with the most urgent requests is loaded first, then the one with the most requests`(
            requests: String,
            first: String,
        ) {
            budget.loads = 1
            val scheduler = scheduler()
            requests.split(" ").forEachIndexed { i, text ->
                val (name, adapter) = text.split(":")
                scheduler.enqueue(work("r$i", adapter, WorkClass.valueOf(name)), 0)
            }
            expectThat(scheduler.decideAt(0)).containsExactly(first)
        }

        @Test
        fun `a failed load backs off without blocking other adapters`() {
            val scheduler = scheduler()
            scheduler.enqueue(work("r0", "a", WorkClass.INTERACTIVE), 0)
            scheduler.decideAt(0)
            scheduler.onLoadFailed(adapter("a"), 0)
            scheduler.enqueue(work("r1", "b", WorkClass.DEFERRABLE), 0)
            expectThat(scheduler.decideAt(0)).containsExactly("load b")
            expectThat(scheduler.wakeAt(0)).isGreaterThan(0)
            expectThat(scheduler.decideAt(1)).containsExactly("load a")
        }

        @Test
        fun `the first successful load after a store outage clears the backoff of all adapters`() {
            val scheduler = scheduler(slots = 4)
            val names = listOf("a", "b", "c", "d")
            names.forEach { scheduler.enqueue(work("r$it", it, WorkClass.INTERACTIVE), 0) }
            scheduler.decideAt(0)
            names.dropLast(1).forEach { scheduler.onLoadFailed(adapter(it), 0) }
            expectThat(scheduler.decideAt(0)).isEmpty()
            scheduler.onLoaded(adapter("d"), 0)
            expectThat(scheduler.decideAt(0)).containsExactly("start rd", "load a", "load b", "load c")
        }

        @Test
        fun `nothing is loaded or evicted while orders are not allowed`() {
            val scheduler = scheduler()
            scheduler.setOrdersAllowed(false)
            scheduler.enqueue(work("r0", "a", WorkClass.INTERACTIVE), 0)
            expectThat(scheduler.decideAt(0)).isEmpty()
            expectThat(scheduler.status(0).evictable).isFalse()
        }
    }

    @Nested
    inner class `given a full engine` {
        private fun fullScheduler(): AdapterScheduler {
            val scheduler = scheduler()
            scheduler.setResident("a", "b")
            repeat(3) { scheduler.enqueue(work("a$it", "a", WorkClass.INTERACTIVE), 0) }
            scheduler.enqueue(work("b0", "b", WorkClass.INTERACTIVE), 0)
            scheduler.decideAt(0)
            return scheduler
        }

        private fun AdapterScheduler.finish(vararg ids: String) = ids.forEach { onFinished(RequestId(it), 10, SECOND) }

        @Test
        fun `the least popular idle adapter is evicted, not the least recently used`() {
            val scheduler = fullScheduler()
            scheduler.finish("a0", "a1", "a2", "b0")
            scheduler.enqueue(work("c0", "c", WorkClass.INTERACTIVE, 1), SECOND)
            expectThat(scheduler.decideAt(1)).containsExactly("evict b")
            expectThat(scheduler.decideAt(1)).isEmpty()
            scheduler.onEvicted(adapter("b"), SECOND)
            expectThat(scheduler.decideAt(1)).containsExactly("load c")
        }

        @Test
        fun `an adapter in use is never evicted`() {
            val scheduler = fullScheduler()
            scheduler.finish("a0", "a1", "a2")
            scheduler.enqueue(work("c0", "c", WorkClass.INTERACTIVE, 1), SECOND)
            expectThat(scheduler.decideAt(1)).containsExactly("evict a")
        }

        @Test
        fun `an adapter in use by another VM is never evicted`() {
            val scheduler = fullScheduler()
            scheduler.finish("a0", "a1", "a2", "b0")
            scheduler.updateForeignUse(mapOf(adapter("b") to 1), SECOND)
            scheduler.enqueue(work("c0", "c", WorkClass.INTERACTIVE, 1), SECOND)
            expectThat(scheduler.decideAt(1)).containsExactly("evict a")
        }

        @Test
        fun `nothing starts on an adapter that is being evicted`() {
            val scheduler = fullScheduler()
            scheduler.finish("b0")
            scheduler.enqueue(work("c0", "c", WorkClass.INTERACTIVE, 1), SECOND)
            scheduler.decideAt(1)
            scheduler.enqueue(work("b1", "b", WorkClass.INTERACTIVE, 1), SECOND)
            expectThat(scheduler.decideAt(1)).isEmpty()
            scheduler.onEvictRefused(adapter("b"), SECOND)
            expectThat(scheduler.decideAt(1)).containsExactly("start b1")
        }

        @Test
        fun `a request that waits long gets a slot although all adapters are in use`() {
            val scheduler = fullScheduler()
            scheduler.enqueue(work("c0", "c", WorkClass.INTERACTIVE, 0), 0)
            scheduler.decideAt(2)
            scheduler.enqueue(work("b1", "b", WorkClass.INTERACTIVE, 2), 2 * SECOND)
            scheduler.finish("b0")
            expectThat(scheduler.decideAt(3)).containsExactly("evict b")
        }

        @Test
        fun `requests for a drained adapter start again once the request that waited for its slot is cancelled`() {
            val scheduler = scheduler(slots = 1)
            scheduler.setResident("a")
            scheduler.enqueue(work("r1", "a", WorkClass.INTERACTIVE), 0)
            scheduler.decideAt(0)
            scheduler.enqueue(work("r2", "b", WorkClass.INTERACTIVE), 0)
            scheduler.decideAt(20)
            scheduler.cancel(RequestId("r2"), 20 * SECOND)
            scheduler.enqueue(work("r3", "a", WorkClass.INTERACTIVE, at = 21), 21 * SECOND)
            expectThat(scheduler.decideAt(21)).containsExactly("start r3")
        }

        @Test
        fun `no adapter is resident after a cold restart`() {
            val scheduler = fullScheduler()
            scheduler.reset(emptyList(), SECOND)
            scheduler.finish("a0", "a1", "a2", "b0")
            scheduler.enqueue(work("a3", "a", WorkClass.INTERACTIVE, 1), SECOND)
            expectThat(scheduler.decideAt(1)).containsExactly("load a")
        }
    }

    @Nested
    inner class `given deferrable requests` {
        private fun AdapterScheduler.enqueueDeferrable(vararg adapters: String) = adapters.forEachIndexed { i, name ->
            enqueue(work("$name$i", name, WorkClass.DEFERRABLE), 0)
        }

        @ParameterizedTest
        @CsvSource("8, load a", "2, load c")
        fun `the adapter with the most requests is loaded while the batch has room, else the one with the fewest`(
            batch: Int,
            load: String,
        ) {
            budget.loads = 1
            val scheduler = scheduler(slots = 8, batch, SchedulerOptions(interactiveReserveRatio = 0.0))
            scheduler.setResident("x")
            scheduler.enqueueDeferrable("x", "x", "a", "a", "a", "b", "b", "c")
            expectThat(scheduler.decideAt(0)).containsExactly("start x0", "start x1", load)
        }

        @Test
        fun `a slot is left to urgent requests`() {
            val scheduler = scheduler(slots = 2)
            scheduler.enqueueDeferrable("a", "b", "c")
            expectThat(scheduler.decideAt(0)).containsExactly("load a")
            scheduler.enqueue(work("r0", "d", WorkClass.INTERACTIVE), 0)
            expectThat(scheduler.decideAt(0)).containsExactly("load d")
        }

        @Test
        fun `a request near its deadline is treated as a plan request`() {
            budget.loads = 1
            val scheduler = scheduler()
            scheduler.enqueue(work("r0", "a", WorkClass.PLAN, 9), 9 * SECOND)
            scheduler.enqueue(work("r1", "b", WorkClass.DEFERRABLE, 0, 200), 0)
            expectThat(scheduler.decideAt(9)).containsExactly("load b")
        }
    }

    @Nested
    inner class `given requests that can't be served` {
        @Test
        fun `a full queue refuses deferrable requests first`() {
            val scheduler = scheduler(options = SchedulerOptions(queueLimit = 1))
            scheduler.enqueue(work("r0", "a", WorkClass.DEFERRABLE), 0)
            scheduler.enqueue(work("r1", "a", WorkClass.INTERACTIVE), 0)
            val refused = scheduler.decide(0, budget).filterIsInstance<EngineAction.Refuse>().single()
            expectThat(refused.work.id).isEqualTo(RequestId("r0"))
            expectThat(refused.code).isEqualTo(RefusalCode.OVERLOADED)
        }

        @Test
        fun `a request that can't start before its deadline is refused ahead of it`() {
            val scheduler = scheduler()
            scheduler.setOrdersAllowed(false)
            scheduler.enqueue(work("r0", "a", WorkClass.PLAN, 0, 5), 0)
            expectThat(scheduler.decideAt(4)).isEmpty()
            expectThat(scheduler.wakeAt(4 * SECOND)).isEqualTo(5 * SECOND - 250_000_000)
            expectThat(scheduler.decide(5 * SECOND - 250_000_000, budget).map(::describe))
                .containsExactly("refuse r0 deadline")
        }

        @Test
        fun `a cancelled request never starts`() {
            val scheduler = scheduler()
            scheduler.setResident("a")
            scheduler.enqueue(work("r0", "a", WorkClass.PLAN), 0)
            expectThat(scheduler.cancel(RequestId("r0"), 0)).isTrue()
            expectThat(scheduler.cancel(RequestId("r0"), 0)).isFalse()
            expectThat(scheduler.decideAt(0)).isEmpty()
        }
    }
}
