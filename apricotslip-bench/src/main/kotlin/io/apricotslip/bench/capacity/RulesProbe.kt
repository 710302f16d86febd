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

/** Costs of placement and scheduling by the number of replicas, resident adapters and waiting requests. */
internal object RulesProbe {
    private val replicaCounts = listOf(100, 1_000, 10_000)
    private val rankedReplicaCounts = listOf(6, 30, 100, 1_000, 2_500, 10_000)
    private val statusAdapterCounts = listOf(8, 16, 64)
    private val waitingRequestCounts = listOf(100, 400, 1_000)
    private val residentAdapterCounts = listOf(8, 64, 256)
    private const val RESIDENT_ADAPTER_COUNT = 16
    private const val ANSWER_TOKENS = 380
    private const val DEADLINE_NANOS = 60_000_000_000L

    private object ExhaustedStoreBudget : StoreBudget {
        override fun tryAcquire(now: Long): Boolean = false

        override fun onLoadEnded(now: Long) = Unit

        override fun nextAvailableAt(now: Long): Long = Long.MAX_VALUE
    }

    fun run(): List<Series> = placementSeries() + schedulerSeries() + statusSeries()

    private fun placementSeries(): List<Series> = listOf(
        Series.of("placement heap, 16 adapters each", "replica", "B", replicaCounts) { n ->
            HeapMeter.bytes { placement(n) }
        },
        Series.of("placement learn of all statuses, CPU", "replica", "us", replicaCounts) { n ->
            val placement = AdapterPlacement()
            val statuses = List(n) { Samples.status(it, RESIDENT_ADAPTER_COUNT) }
            CpuMeter.micros(1) { statuses.forEach { placement.updateStatus(it, now = 0) } }
        },
        Series.of("placement rank of one request, CPU", "replica", "us", rankedReplicaCounts) { rankCpuMicros(it) },
    )

    private fun schedulerSeries(): List<Series> = listOf(
        Series.of("scheduler heap, 16 resident", "replica", "B", replicaCounts) { n ->
            HeapMeter.bytes { List(n) { scheduler(RESIDENT_ADAPTER_COUNT) } }
        },
        Series.of("scheduler decide and status of all, idle, CPU", "replica", "us", replicaCounts) { n ->
            val schedulers = List(n) { scheduler(RESIDENT_ADAPTER_COUNT) }
            CpuMeter.micros(1) { schedulers.forEach { tick(it) } }
        },
        Series.of("scheduler without a role heap", "replica", "B", replicaCounts) { n ->
            HeapMeter.bytes { List(n) { schedulerWithoutRole() } }
        },
        Series.of("scheduler without a role decide of all, CPU", "replica", "us", replicaCounts) { n ->
            val schedulers = List(n) { schedulerWithoutRole() }
            CpuMeter.micros(1) { schedulers.forEach { it.decide(0, ExhaustedStoreBudget) } }
        },
        Series.of("scheduler heap", "resident adapter", "B", residentAdapterCounts) { n ->
            HeapMeter.bytes(SAMPLE_COUNT) { scheduler(n) }
        },
        Series.of("scheduler heap", "waiting request", "B", waitingRequestCounts) { n ->
            HeapMeter.bytes(SAMPLE_COUNT) { schedulerWithWaiting(n) }
        },
        Series.of("scheduler start and end of one request, CPU", "waiting request", "us", waitingRequestCounts) {
            requestCycleCpuMicros(it)
        },
    )

    private fun statusSeries(): List<Series> = listOf(
        Series.of("EngineStatus, bytes", "adapter", "B", statusAdapterCounts) {
            FrameCodec.frameBytes(status(it)).toDouble()
        },
        Series.of("EngineStatus, CPU of both ends", "adapter", "us", statusAdapterCounts) {
            FrameCodec.cpuMicros(status(it))
        },
    )

    private fun status(adapters: Int): Message = Message.Engines(listOf(Samples.status(0, adapters)))

    private fun placement(replicas: Int): AdapterPlacement {
        val placement = AdapterPlacement()
        repeat(replicas) { placement.updateStatus(Samples.status(it, RESIDENT_ADAPTER_COUNT), now = 0) }
        return placement
    }

    private fun rankCpuMicros(replicas: Int): Double {
        val placement = placement(replicas)
        val engines = List(replicas) { Samples.engine(it) }
        val request = PlacementRequest(Samples.adapter(1), WorkClass.INTERACTIVE, ANSWER_TOKENS)
        return CpuMeter.micros(1) { placement.rank(request, engines, now = 0) }
    }

    private fun tick(scheduler: AdapterScheduler) {
        scheduler.decide(0, ExhaustedStoreBudget)
        scheduler.status(0)
    }

    private fun scheduler(adapters: Int): AdapterScheduler {
        val scheduler = AdapterScheduler(Samples.server(0), adapters, adapters, WhenFull.REFUSES)
        scheduler.reset(List(adapters) { Samples.adapter(it) }, now = 0)
        return scheduler
    }

    /** The scheduler of an engine that another VM owns; it holds no adapters. */
    private fun schedulerWithoutRole(): AdapterScheduler =
        AdapterScheduler(Samples.server(0), RESIDENT_ADAPTER_COUNT, RESIDENT_ADAPTER_COUNT, WhenFull.REFUSES)

    private fun schedulerWithWaiting(requests: Int): AdapterScheduler {
        val scheduler = scheduler(RESIDENT_ADAPTER_COUNT)
        repeat(requests) { scheduler.enqueue(workItem(it, RESIDENT_ADAPTER_COUNT + it % SAMPLE_COUNT), now = 0) }
        return scheduler
    }

    /** CPU time of one request for a resident adapter while [waitingRequests] wait for adapters that are not loaded. */
    private fun requestCycleCpuMicros(waitingRequests: Int): Double {
        val scheduler = schedulerWithWaiting(waitingRequests)
        var next = waitingRequests
        return CpuMeter.micros(1) {
            val work = workItem(next++, next % RESIDENT_ADAPTER_COUNT)
            scheduler.enqueue(work, now = 0)
            scheduler.decide(0, ExhaustedStoreBudget)
            scheduler.onFinished(work.id, ANSWER_TOKENS, now = 1)
        }
    }

    private fun workItem(index: Int, adapter: Int): WorkItem = WorkItem(
        id = RequestId("req-%012d".format(index)),
        adapter = Samples.adapter(adapter),
        workClass = WorkClass.INTERACTIVE,
        customer = CustomerId("club-%05d".format(index % SAMPLE_COUNT)),
        arrivedAt = index.toLong(),
        deadlineAt = DEADLINE_NANOS + index,
        maxTokens = ANSWER_TOKENS,
    )

    private const val SAMPLE_COUNT = 100
}
