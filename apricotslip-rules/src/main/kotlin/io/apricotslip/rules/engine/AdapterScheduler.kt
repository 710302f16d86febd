package io.apricotslip.rules.engine

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.manifest.WhenFull
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.peer.AdapterUse
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.api.work.WorkClass
import io.apricotslip.rules.store.StoreBudget
import kotlin.math.max
import kotlin.math.min
import kotlin.random.Random

/**
 * Starts requests by urgency and age, groups deferrable requests by adapter, loads the adapter with the most urgent
 * queued requests first and evicts the least popular idle adapter.
 *
 * @param slots number of adapter slots of the engine.
 * @param batch maximum number of requests that the engine decodes concurrently.
 * @param whenFull how the engine handles a load when all slots are taken; unused, as loads go only into free slots.
 * @param random source of backoff jitter.
 */
public class AdapterScheduler(
    private val server: BackendServerId,
    private val slots: Int,
    private val batch: Int,
    @Suppress("UnusedPrivateProperty") private val whenFull: WhenFull,
    private val options: SchedulerOptions = SchedulerOptions(),
    random: Random = Random(0),
) : EngineScheduler {
    private val waiting = WaitingWork()
    private val adapterSlots = AdapterSlots(slots)
    private val popularity = Popularity(options.popularityHalfLifeMillis * NANOS_PER_MILLI.toDouble())
    private val backoff = LoadBackoff(options, random)
    private val urgency = WorkUrgency(options)
    private val latency = TokenLatencyEstimator(batch)
    private val drain = AdapterDrain()
    private val victimSelector = VictimSelector(options, adapterSlots, waiting, popularity, latency, drain)
    private val loadQueue = LoadQueue(options, urgency, waiting)
    private val loadPlanner =
        LoadPlanner(slots, batch, options, adapterSlots, waiting, backoff, victimSelector, loadQueue)
    private val startQueue = StartQueue(batch, options, urgency, drain)
    private val overflow = ArrayList<WorkItem>()
    private var ordersAllowed = true
    private var startsPausedUntil = Long.MIN_VALUE
    private var storeAvailableAt = Long.MAX_VALUE
    private var lastDecidedAt = 0L

    override val residentAdapters: Set<AdapterVersion> get() = adapterSlots.residentAdapters

    override fun enqueue(work: WorkItem, now: Long) {
        popularity.recordRequest(work.adapter, popularityWeight(work), now)
        waiting.add(work)
        if (waiting.size > options.queueLimit) {
            val shed = waiting.leastUrgent() ?: return
            waiting.remove(shed.id)
            overflow += shed
        }
    }

    override fun cancel(id: RequestId, now: Long): Boolean = waiting.remove(id) != null

    override fun onFinished(id: RequestId, tokens: Int, now: Long) {
        val running = adapterSlots.running + adapterSlots.foreignRunning
        val ended = adapterSlots.recordEnd(id, now) ?: return
        latency.recordSample(tokens, now - ended.startedAt, running)
    }

    override fun onStartRefused(id: RequestId, adapterMissing: Boolean, now: Long) {
        val refused = adapterSlots.recordEnd(id, now) ?: return
        waiting.add(refused.work)
        if (adapterMissing) {
            adapterSlots.recordEvicted(refused.work.adapter)
        } else {
            startsPausedUntil = now + nanos(options.startRefusedPauseMillis)
        }
    }

    override fun onLoaded(adapter: AdapterVersion, now: Long) {
        backoff.recordSuccess(adapter)
        adapterSlots.recordLoaded(adapter, now)
    }

    override fun onLoadFailed(adapter: AdapterVersion, now: Long) {
        adapterSlots.recordLoadFailed(adapter)
        backoff.recordFailure(adapter, now)
    }

    override fun onEvicted(adapter: AdapterVersion, now: Long) {
        adapterSlots.recordEvicted(adapter)
        if (adapter == drain.adapter) drain.stop()
    }

    override fun onEvictRefused(adapter: AdapterVersion, now: Long) {
        adapterSlots.cancelEvict(adapter, now + nanos(options.evictRefusedPauseMillis))
        if (adapter == drain.adapter) drain.stop()
    }

    override fun reset(resident: List<AdapterVersion>, now: Long) {
        adapterSlots.reset(resident, now)
        drain.stop()
    }

    override fun updateForeignUse(running: Map<AdapterVersion, Int>, now: Long): Unit =
        adapterSlots.updateForeignRunning(running)

    override fun setOrdersAllowed(allowed: Boolean) {
        ordersAllowed = allowed
    }

    override fun decide(now: Long, budget: StoreBudget): List<EngineAction> {
        val actions = ArrayList<EngineAction>()
        refuseOverflow(actions)
        refuseExpired(now, actions)
        if (drain.adapter != null && (!ordersAllowed || loadPlanner.next(now) == null)) drain.stop()
        startWork(now, actions)
        if (ordersAllowed) issueLoads(now, budget, actions)
        storeAvailableAt = budget.nextAvailableAt(now)
        lastDecidedAt = now
        return actions
    }

    override fun wakeAt(now: Long): Long {
        val refusal = nextRefusalAt(now)
        val backoffEnd = waiting.adapters.map { backoff.retryAt(it) }.filter { it > now }.minOrNull() ?: Long.MAX_VALUE
        val startPauseEnd = if (startsPausedUntil > now) startsPausedUntil else Long.MAX_VALUE
        val loadAttempt = if (ordersAllowed && loadPlanner.hasDemand(now)) nextLoadAttemptAt() else Long.MAX_VALUE
        return max(now, min(min(refusal, backoffEnd), min(startPauseEnd, loadAttempt)))
    }

    override fun status(now: Long): EngineStatus {
        val missingAdapters = waiting.adapters.filter { !adapterSlots.isResident(it) && !adapterSlots.isLoading(it) }
        val reportedAdapters =
            adapterSlots.residentAdapters + adapterSlots.loadingAdapters +
                missingAdapters.take(MAX_REPORTED_MISSING_ADAPTERS)
        return EngineStatus(
            server = server,
            slots = slots,
            batch = batch,
            running = adapterSlots.running + adapterSlots.foreignRunning,
            waiting = waiting.size,
            waitingLoads = missingAdapters.size + adapterSlots.loadingAdapters.size,
            freeSlots = max(0, adapterSlots.freeCount),
            evictable = ordersAllowed && (adapterSlots.freeCount > 0 || victimSelector.select(now) != null),
            tokensPerSecond = latency.fullBatchTokensPerSecond(),
            waitingDeferrable = waiting.count(WorkClass.DEFERRABLE),
            adapters = reportedAdapters.map { AdapterUse(it, adapterSlots.running(it), waiting.count(it)) },
        )
    }

    private fun refuseOverflow(actions: MutableList<EngineAction>) {
        overflow.forEach { actions += EngineAction.Refuse(it, RefusalCode.OVERLOADED) }
        overflow.clear()
    }

    /** Refuses requests that can't start before their deadline, counting the load of a missing adapter. */
    private fun refuseExpired(now: Long, actions: MutableList<EngineAction>) {
        val candidates = waiting.dueBefore(now + nanos(options.expectedLoadMillis) + 1)
        val expired = candidates.filter { now + minLoadWaitNanos(it) >= it.deadlineAt }
        for (work in expired) {
            waiting.remove(work.id)
            actions += EngineAction.Refuse(work, RefusalCode.DEADLINE)
        }
    }

    /** When to try the next load again, early enough that the store budget does not forget this engine's demand. */
    private fun nextLoadAttemptAt(): Long =
        min(max(storeAvailableAt, lastDecidedAt + LOAD_RETRY_NANOS), lastDecidedAt + DEMAND_REFRESH_NANOS)

    private fun nextRefusalAt(now: Long): Long {
        val firstDeadline = waiting.firstDeadline()
        val candidates = waiting.dueBefore(max(firstDeadline, now) + nanos(options.expectedLoadMillis) + 1)
        return candidates.minOfOrNull { it.deadlineAt - minLoadWaitNanos(it) } ?: firstDeadline
    }

    private fun minLoadWaitNanos(work: WorkItem): Long =
        if (adapterSlots.isResident(work.adapter) || adapterSlots.isLoading(work.adapter)) {
            0
        } else {
            nanos(options.expectedLoadMillis)
        }

    private fun startWork(now: Long, actions: MutableList<EngineAction>) {
        if (now < startsPausedUntil) return
        while (true) {
            val work = startQueue.next(waiting, adapterSlots, now) ?: return
            waiting.remove(work.id)
            adapterSlots.recordStart(work, now)
            actions += EngineAction.Start(work, work.workClass.ordinal)
        }
    }

    private fun issueLoads(now: Long, budget: StoreBudget, actions: MutableList<EngineAction>) {
        while (true) {
            val demand = loadPlanner.next(now) ?: return
            if (adapterSlots.freeCount <= 0) return evictForLoad(demand, now, budget, actions)
            if (!budget.tryAcquire(now, demand.toStoreDemand())) return
            adapterSlots.markLoading(demand.adapter)
            actions += EngineAction.Load(demand.adapter)
        }
    }

    /** Frees a slot for [demand] by an evict shortly before the store allows the load, or by draining an adapter. */
    private fun evictForLoad(demand: LoadDemand, now: Long, budget: StoreBudget, actions: MutableList<EngineAction>) {
        if (adapterSlots.evictingCount > 0) return
        val victim = victimSelector.select(now) ?: return victimSelector.drainFor(demand, now)
        budget.recordDemand(now, demand.toStoreDemand())
        val nextLoadAt = budget.nextAvailableAt(now)
        if (nextLoadAt == Long.MAX_VALUE || nextLoadAt - now > nanos(options.evictLeadMillis)) return
        adapterSlots.markEvicting(victim)
        actions += EngineAction.Evict(victim)
    }

    private fun popularityWeight(work: WorkItem): Double =
        if (work.workClass == WorkClass.DEFERRABLE) options.deferrablePopularityWeight else 1.0

    private fun nanos(millis: Long): Long = millis * NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val LOAD_RETRY_NANOS = 5 * NANOS_PER_MILLI
        const val DEMAND_REFRESH_NANOS = 50 * NANOS_PER_MILLI
        const val MAX_REPORTED_MISSING_ADAPTERS = 32
    }
}
