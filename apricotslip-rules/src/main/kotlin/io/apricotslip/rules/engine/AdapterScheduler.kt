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
 * Starts work in order of urgency and age, groups deferrable work by adapter, loads the most urgent waiting adapter
 * first and evicts the least popular idle one.
 *
 * @param slots adapter slots of the engine.
 * @param batch requests that the engine decodes at once.
 * @param whenFull what the engine does with a load beyond its slots; loads are proposed only into free ones.
 * @param random source of the jitter of backoffs.
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
    private val use = Slots(slots)
    private val popularity = Popularity(options.popularityHalfLifeMillis * NANOS_PER_MILLI.toDouble())
    private val backoff = LoadBackoff(options, random)
    private val urgency = WorkUrgency(options)
    private val speed = SpeedMeter(batch)
    private val drain = Drain()
    private val victims = Victims(options, use, waiting, popularity, speed, drain)
    private val loadQueue = LoadQueue(options, urgency, waiting)
    private val loads = LoadPlanner(slots, batch, options, use, waiting, backoff, victims, loadQueue)
    private val startQueue = StartQueue(batch, options, urgency, drain)
    private val overflow = ArrayList<WorkItem>()
    private var ordersAllowed = true
    private var startsHeldUntil = Long.MIN_VALUE
    private var storeNextAt = Long.MAX_VALUE
    private var decidedAt = 0L

    override val residentAdapters: Set<AdapterVersion> get() = use.adapters

    override fun enqueue(work: WorkItem, now: Long) {
        popularity.add(work.adapter, weight(work), now)
        waiting.add(work)
        if (waiting.size > options.queueLimit) {
            val shed = waiting.leastUrgent() ?: return
            waiting.remove(shed.id)
            overflow += shed
        }
    }

    override fun cancel(id: RequestId, now: Long): Boolean = waiting.remove(id) != null

    override fun onFinished(id: RequestId, tokens: Int, now: Long) {
        val running = use.running + use.foreign
        val ended = use.end(id, now) ?: return
        speed.finished(tokens, now - ended.at, running)
    }

    override fun onStartRefused(id: RequestId, adapterMissing: Boolean, now: Long) {
        val refused = use.end(id, now) ?: return
        waiting.add(refused.work)
        if (adapterMissing) {
            use.evicted(refused.work.adapter)
        } else {
            startsHeldUntil =
                now + nanos(options.startPauseMillis)
        }
    }

    override fun onLoaded(adapter: AdapterVersion, now: Long) {
        backoff.succeeded(adapter)
        use.loaded(adapter, now)
    }

    override fun onLoadFailed(adapter: AdapterVersion, now: Long) {
        use.loadFailed(adapter)
        backoff.failed(adapter, now)
    }

    override fun onEvicted(adapter: AdapterVersion, now: Long) {
        use.evicted(adapter)
        if (adapter == drain.adapter) drain.end()
    }

    override fun onEvictRefused(adapter: AdapterVersion, now: Long) {
        use.keep(adapter, now + nanos(options.evictRefusedPauseMillis))
        if (adapter == drain.adapter) drain.end()
    }

    override fun reset(resident: List<AdapterVersion>, now: Long) {
        use.reset(resident, now)
        drain.end()
    }

    override fun updateForeignUse(running: Map<AdapterVersion, Int>, now: Long): Unit = use.foreign(running)

    override fun setOrdersAllowed(allowed: Boolean) {
        ordersAllowed = allowed
    }

    override fun decide(now: Long, budget: StoreBudget): List<EngineAction> {
        val actions = ArrayList<EngineAction>()
        refuseOverflow(actions)
        refuseExpired(now, actions)
        if (drain.adapter != null && (!ordersAllowed || loads.next(now) == null)) drain.end()
        startWork(now, actions)
        if (ordersAllowed) orderLoads(now, budget, actions)
        storeNextAt = budget.nextAvailableAt(now)
        decidedAt = now
        return actions
    }

    override fun wakeAt(now: Long): Long {
        val deadline = nextRefusal(now)
        val retry = waiting.adapters.map { backoff.until(it) }.filter { it > now }.minOrNull() ?: Long.MAX_VALUE
        val held = if (startsHeldUntil > now) startsHeldUntil else Long.MAX_VALUE
        val load = if (ordersAllowed && loads.hasDemand(now)) nextTry() else Long.MAX_VALUE
        return max(now, min(min(deadline, retry), min(held, load)))
    }

    override fun status(now: Long): EngineStatus {
        val coming = waiting.adapters.filter { !use.isResident(it) && !use.isLoading(it) }
        val told = use.adapters + use.loads + coming.take(COMING_TOLD)
        return EngineStatus(
            server = server,
            slots = slots,
            batch = batch,
            running = use.running + use.foreign,
            waiting = waiting.size,
            waitingLoads = coming.size + use.loads.size,
            freeSlots = max(0, use.free),
            evictable = ordersAllowed && (use.free > 0 || victims.next(now) != null),
            tokensPerSecond = speed.fullBatch(),
            waitingDeferrable = waiting.count(WorkClass.DEFERRABLE),
            adapters = told.map { AdapterUse(it, use.running(it), waiting.count(it)) },
        )
    }

    private fun refuseOverflow(actions: MutableList<EngineAction>) {
        overflow.forEach { actions += EngineAction.Refuse(it, RefusalCode.OVERLOADED) }
        overflow.clear()
    }

    private fun refuseExpired(now: Long, actions: MutableList<EngineAction>) {
        val due = waiting.dueBefore(now + nanos(options.loadMillis) + 1)
        val late = due.filter { now + shortestWait(it) >= it.deadlineAt }
        for (work in late) {
            waiting.remove(work.id)
            actions += EngineAction.Refuse(work, RefusalCode.DEADLINE)
        }
    }

    private fun nextTry(): Long = min(max(storeNextAt, decidedAt + LOAD_RETRY_NANOS), decidedAt + DEMAND_REPEAT_NANOS)

    private fun nextRefusal(now: Long): Long {
        val first = waiting.firstDeadline()
        val soon = waiting.dueBefore(max(first, now) + nanos(options.loadMillis) + 1)
        return soon.minOfOrNull { it.deadlineAt - shortestWait(it) } ?: first
    }

    private fun shortestWait(work: WorkItem): Long =
        if (use.isResident(work.adapter) || use.isLoading(work.adapter)) 0 else nanos(options.loadMillis)

    private fun startWork(now: Long, actions: MutableList<EngineAction>) {
        if (now < startsHeldUntil) return
        while (true) {
            val work = startQueue.next(waiting, use, now) ?: return
            waiting.remove(work.id)
            use.start(work, now)
            actions += EngineAction.Start(work, work.workClass.ordinal)
        }
    }

    private fun orderLoads(now: Long, budget: StoreBudget, actions: MutableList<EngineAction>) {
        while (true) {
            val demand = loads.next(now) ?: return
            if (use.free <= 0) return makeRoom(demand, now, budget, actions)
            if (!budget.tryAcquire(now, demand.toStore())) return
            use.load(demand.adapter)
            actions += EngineAction.Load(demand.adapter)
        }
    }

    private fun makeRoom(demand: LoadDemand, now: Long, budget: StoreBudget, actions: MutableList<EngineAction>) {
        if (use.evicting > 0) return
        val victim = victims.next(now) ?: return victims.drainFor(demand, now)
        budget.recordDemand(now, demand.toStore())
        val next = budget.nextAvailableAt(now)
        if (next == Long.MAX_VALUE || next - now > nanos(options.evictLeadMillis)) return
        use.evict(victim)
        actions += EngineAction.Evict(victim)
    }

    private fun weight(work: WorkItem): Double =
        if (work.workClass == WorkClass.DEFERRABLE) options.deferrablePopularity else 1.0

    private fun nanos(millis: Long): Long = millis * NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val LOAD_RETRY_NANOS = 5 * NANOS_PER_MILLI
        const val DEMAND_REPEAT_NANOS = 50 * NANOS_PER_MILLI
        const val COMING_TOLD = 32
    }
}
