package io.apricotslip.bench.capacity

import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.manifest.WhenFull
import io.apricotslip.api.work.WorkClass
import io.apricotslip.rules.engine.AdapterScheduler
import io.apricotslip.rules.engine.WorkItem
import io.apricotslip.rules.placement.AdapterPlacement
import io.apricotslip.rules.placement.PlacementRequest
import io.apricotslip.rules.store.StoreBudget
import io.apricotslip.wire.Message

/** Costs of the decisions by replicas, resident adapters and waiting requests. */
internal object RulesProbe {
    private val replicaSizes = listOf(100, 1_000, 10_000)
    private val rankedSizes = listOf(6, 30, 100, 1_000, 2_500, 10_000)
    private val adapterSizes = listOf(8, 16, 64)
    private val waitingSizes = listOf(100, 400, 1_000)
    private val schedulerAdapterSizes = listOf(8, 64, 256)
    private const val RESIDENT = 16
    private const val TOKENS = 380
    private const val DEADLINE_NANOS = 60_000_000_000L

    private object NoLoads : StoreBudget {
        override fun tryAcquire(now: Long): Boolean = false

        override fun onLoadEnded(now: Long) = Unit

        override fun nextAvailableAt(now: Long): Long = Long.MAX_VALUE
    }

    fun run(): List<Series> = placement() + schedulers() + statuses()

    private fun placement(): List<Series> = listOf(
        Series.of("placement heap, 16 adapters each", "replica", "B", replicaSizes) { n ->
            HeapMeter.bytes { placement(n) }
        },
        Series.of("placement learn of all statuses, CPU", "replica", "us", replicaSizes) { n ->
            val placement = AdapterPlacement()
            val statuses = List(n) { Samples.status(it, RESIDENT) }
            CpuMeter.micros(1) { statuses.forEach { placement.updateStatus(it, now = 0) } }
        },
        Series.of("placement rank of one request, CPU", "replica", "us", rankedSizes) { rank(it) },
    )

    private fun schedulers(): List<Series> = listOf(
        Series.of("scheduler heap, 16 resident", "replica", "B", replicaSizes) { n ->
            HeapMeter.bytes { List(n) { scheduler(RESIDENT) } }
        },
        Series.of("scheduler decide and status of all, idle, CPU", "replica", "us", replicaSizes) { n ->
            val all = List(n) { scheduler(RESIDENT) }
            CpuMeter.micros(1) { all.forEach { tick(it) } }
        },
        Series.of("scheduler without a role heap", "replica", "B", replicaSizes) { n ->
            HeapMeter.bytes { List(n) { idle() } }
        },
        Series.of("scheduler without a role decide of all, CPU", "replica", "us", replicaSizes) { n ->
            val all = List(n) { idle() }
            CpuMeter.micros(1) { all.forEach { it.decide(0, NoLoads) } }
        },
        Series.of("scheduler heap", "resident adapter", "B", schedulerAdapterSizes) { n ->
            HeapMeter.bytes(HUNDRED) { scheduler(n) }
        },
        Series.of("scheduler heap", "waiting request", "B", waitingSizes) { n ->
            HeapMeter.bytes(HUNDRED) { waiting(n) }
        },
        Series.of("scheduler start and end of one request, CPU", "waiting request", "us", waitingSizes) { cycle(it) },
    )

    private fun statuses(): List<Series> = listOf(
        Series.of("EngineStatus, bytes", "adapter", "B", adapterSizes) { FrameSize.of(status(it)).toDouble() },
        Series.of("EngineStatus, CPU of both ends", "adapter", "us", adapterSizes) { FrameSize.micros(status(it)) },
    )

    private fun status(adapters: Int): Message = Message.Engines(listOf(Samples.status(0, adapters)))

    private fun placement(replicas: Int): AdapterPlacement {
        val placement = AdapterPlacement()
        repeat(replicas) { placement.updateStatus(Samples.status(it, RESIDENT), now = 0) }
        return placement
    }

    private fun rank(replicas: Int): Double {
        val placement = placement(replicas)
        val engines = List(replicas) { Samples.engine(it) }
        val request = PlacementRequest(Samples.adapter(1), WorkClass.INTERACTIVE, TOKENS)
        return CpuMeter.micros(1) { placement.rank(request, engines, now = 0) }
    }

    private fun tick(scheduler: AdapterScheduler) {
        scheduler.decide(0, NoLoads)
        scheduler.status(0)
    }

    private fun scheduler(adapters: Int): AdapterScheduler {
        val scheduler = AdapterScheduler(Samples.server(0), adapters, adapters, WhenFull.REFUSES)
        scheduler.reset(List(adapters) { Samples.adapter(it) }, now = 0)
        return scheduler
    }

    /** A scheduler of an engine that another VM owns. */
    private fun idle(): AdapterScheduler = AdapterScheduler(Samples.server(0), RESIDENT, RESIDENT, WhenFull.REFUSES)

    private fun waiting(requests: Int): AdapterScheduler {
        val scheduler = scheduler(RESIDENT)
        repeat(requests) { scheduler.enqueue(work(it, RESIDENT + it % HUNDRED), now = 0) }
        return scheduler
    }

    /** One request on a resident adapter beside those that wait for others. */
    private fun cycle(waiting: Int): Double {
        val scheduler = waiting(waiting)
        var next = waiting
        return CpuMeter.micros(1) {
            val work = work(next++, next % RESIDENT)
            scheduler.enqueue(work, now = 0)
            scheduler.decide(0, NoLoads)
            scheduler.onFinished(work.id, TOKENS, now = 1)
        }
    }

    private fun work(i: Int, adapter: Int): WorkItem = WorkItem(
        id = RequestId("req-%012d".format(i)),
        adapter = Samples.adapter(adapter),
        workClass = WorkClass.INTERACTIVE,
        customer = CustomerId("club-%05d".format(i % HUNDRED)),
        arrivedAt = i.toLong(),
        deadlineAt = DEADLINE_NANOS + i,
        maxTokens = TOKENS,
    )

    private const val HUNDRED = 100
}
