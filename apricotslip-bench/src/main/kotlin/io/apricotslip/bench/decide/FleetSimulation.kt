package io.apricotslip.bench.decide

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.work.WorkClass
import io.apricotslip.rules.engine.EngineAction
import io.apricotslip.rules.engine.EngineScheduler
import io.apricotslip.rules.engine.WorkItem
import io.apricotslip.rules.placement.Placement
import io.apricotslip.rules.placement.PlacementRequest
import io.apricotslip.rules.store.StoreShare
import kotlin.random.Random

/** An entry VM: selects backend servers for requests and owns engines. */
internal class SimulatedVm(val number: Int, val placement: Placement, val storeShare: StoreShare) {
    val owned = ArrayList<OwnedEngine>()
}

/** An engine and its owner's scheduler for it. */
internal class OwnedEngine(
    val entry: EngineEntry,
    val vm: SimulatedVm,
    val scheduler: EngineScheduler,
    loop: EventLoop,
    kind: EngineKind,
    onStreamEnd: (OwnedEngine, WorkItem, Int) -> Unit,
) {
    val engine = SimulatedEngine(loop, kind) { work, tokens -> onStreamEnd(this, work, tokens) }
    val residentSince = HashMap<AdapterVersion, Long>()
    val queued = LinkedHashMap<String, WorkItem>()
    var incarnation = 0
    var unavailable = false
    var wakeAt = Long.MAX_VALUE
}

/**
 * Runs a scenario through the decision code of all VMs in virtual time. Messages between VMs take one hop; an
 * eviction takes two hops for the consent plus the time of the order to the backend server.
 */
internal class FleetSimulation(private val scenario: Scenario, private val policy: Policy) {
    private val deployment = scenario.deployment
    private val loop = EventLoop()
    private val store = SimulatedStore(loop, deployment.store, Random(scenario.seed + 1))
    private val vms = List(deployment.vms) { createVm(it) }
    private val engines = deployment.engines.mapIndexed { i, entry -> createEngine(i, entry) }
    private val byId = engines.associateBy { it.entry.id }
    private val answerTokens = scenario.arrivals.associate { it.work.id.value to it.tokens }
    private val records = HashMap<String, RequestRecord>()
    private val backlog = Backlog({ loop.now }, ::totalTokens)

    fun run(): RunResult {
        assignStoreShares()
        scenario.arrivals.forEach { arrival -> loop.scheduleAt(arrival.work.arrivedAt) { arrive(arrival) } }
        scenario.faults.forEach(::scheduleFault)
        loop.scheduleAfter(STATUS_NANOS) { reportStatuses() }
        loop.run(scenario.end)
        backlog.close()
        return RunResult(
            scenario = scenario,
            policy = policy.name,
            records = scenario.arrivals.map { records.getValue(it.work.id.value) },
            loads = store.startedLoads,
            peakLoadsInFlight = store.peakInFlight,
            backlogSeconds = backlog.seconds,
            backlogTokens = backlog.tokens,
        )
    }

    private fun createVm(number: Int): SimulatedVm {
        val random = Random(scenario.seed * VM_SEED + number)
        val store = deployment.store
        val storeShare =
            StoreShare(store.loadsPerSecond, store.fullSpeedInFlight, store.maxInFlight, 0.0, policy.storeShare)
        return SimulatedVm(number, policy.placement(deployment, random), storeShare)
    }

    private fun createEngine(number: Int, entry: EngineEntry): OwnedEngine {
        val vm = vms[number % vms.size]
        val scheduler = policy.scheduler(deployment, entry, Random(scenario.seed * ENGINE_SEED + number))
        val owned = OwnedEngine(entry, vm, scheduler, loop, deployment.engineKinds[number], ::onStreamEnded)
        vm.owned += owned
        return owned
    }

    private fun assignStoreShares() = vms.forEach { it.storeShare.resize(1.0 / vms.size, 0) }

    private fun arrive(arrival: Arrival) {
        val work = arrival.work
        records[work.id.value] = RequestRecord(work.workClass, work.arrivedAt)
        if (work.workClass == WorkClass.DEFERRABLE) backlog.onArrival()
        dispatch(work, vms[arrival.entryVm])
    }

    private fun dispatch(work: WorkItem, vm: SimulatedVm) {
        val now = loop.now
        val request = PlacementRequest(work.adapter, work.workClass, work.maxTokens, work.prefixHash)
        val live = engines.filterNot { it.unavailable }.map { it.entry }
        val chosen = byId.getValue(vm.placement.rank(request, live, now).first())
        vm.placement.recordSent(work.adapter, chosen.entry.id, now)
        loop.scheduleAfter(hopNanos(vm, chosen.vm)) { enqueue(work, chosen, vm) }
    }

    private fun enqueue(work: WorkItem, owned: OwnedEngine, entry: SimulatedVm) {
        if (owned.unavailable) {
            dispatch(work, entry)
            return
        }
        owned.queued[work.id.value] = work
        owned.scheduler.enqueue(work, loop.now)
        runScheduler(owned)
    }

    private fun hopNanos(from: SimulatedVm, to: SimulatedVm): Long = if (from === to) 0 else deployment.hopNanos

    private fun runScheduler(owned: OwnedEngine) {
        if (owned.unavailable) return
        owned.scheduler.decide(loop.now, owned.vm.storeShare).forEach { execute(it, owned) }
        val wake = owned.scheduler.wakeAt(loop.now)
        if (wake != Long.MAX_VALUE && (wake < owned.wakeAt || owned.wakeAt <= loop.now)) {
            owned.wakeAt = wake
            loop.scheduleAt(maxOf(wake, loop.now + 1)) { if (owned.wakeAt == wake) wake(owned) }
        }
        requestLoans(owned.vm)
    }

    private fun wake(owned: OwnedEngine) {
        owned.wakeAt = Long.MAX_VALUE
        runScheduler(owned)
    }

    private fun execute(action: EngineAction, owned: OwnedEngine) {
        when (action) {
            is EngineAction.Start -> start(action.work, owned)
            is EngineAction.Load -> loadAdapter(action.adapter, owned)
            is EngineAction.Evict -> evictAdapter(action.adapter, owned)
            is EngineAction.Refuse -> refuse(action.work, owned)
        }
    }

    private fun start(work: WorkItem, owned: OwnedEngine) {
        val record = records.getValue(work.id.value)
        owned.queued.remove(work.id.value)
        val since = owned.residentSince.getValue(work.adapter)
        record.stall = maxOf(record.stall, since - work.arrivedAt)
        record.startedAt = loop.now
        owned.engine.start(work, answerTokens.getValue(work.id.value))
    }

    private fun loadAdapter(adapter: AdapterVersion, owned: OwnedEngine) {
        val incarnation = owned.incarnation
        store.load { succeeded ->
            owned.vm.storeShare.onLoadEnded(loop.now)
            if (incarnation == owned.incarnation) {
                if (succeeded) onAdapterLoaded(adapter, owned) else owned.scheduler.onLoadFailed(adapter, loop.now)
            }
            owned.vm.owned.forEach(::runScheduler)
        }
    }

    private fun onAdapterLoaded(adapter: AdapterVersion, owned: OwnedEngine) {
        check(owned.residentSince.size < owned.entry.slots) { "engine ${owned.entry.id} has no free slot" }
        owned.residentSince[adapter] = loop.now
        owned.scheduler.onLoaded(adapter, loop.now)
    }

    private fun evictAdapter(adapter: AdapterVersion, owned: OwnedEngine) {
        check(owned.engine.runningWork.none { it.adapter == adapter }) { "$adapter is in use" }
        val incarnation = owned.incarnation
        loop.scheduleAfter(2 * deployment.hopNanos + EVICT_NANOS) {
            if (incarnation == owned.incarnation) {
                owned.residentSince.remove(adapter)
                owned.scheduler.onEvicted(adapter, loop.now)
                runScheduler(owned)
            }
        }
    }

    private fun refuse(work: WorkItem, owned: OwnedEngine) {
        owned.queued.remove(work.id.value)
        recordEnd(work, Ending.REFUSED, 0)
    }

    private fun onStreamEnded(owned: OwnedEngine, work: WorkItem, tokens: Int) {
        recordEnd(work, Ending.COMPLETED, tokens)
        owned.scheduler.onFinished(work.id, tokens, loop.now)
        runScheduler(owned)
    }

    private fun recordEnd(work: WorkItem, ending: Ending, tokens: Int) {
        val record = records.getValue(work.id.value)
        record.endedAt = loop.now
        record.ending = ending
        record.tokens = tokens
        if (ending == Ending.REFUSED) record.stall = loop.now - work.arrivedAt
        if (work.workClass == WorkClass.DEFERRABLE) backlog.onEnd()
    }

    private fun totalTokens(): Double {
        engines.forEach { it.engine.advance() }
        return engines.sumOf { it.engine.tokensGenerated }
    }

    private fun requestLoans(vm: SimulatedVm) {
        if (!policy.lending) return
        val request = vm.storeShare.nextLoanRequest(loop.now) ?: return
        vms.filter { it !== vm }.forEach { peer ->
            loop.scheduleAfter(deployment.hopNanos) {
                val lent = peer.storeShare.lend(request, loop.now)
                if (lent > 0) loop.scheduleAfter(deployment.hopNanos) { onLoanReceived(lent, vm) }
            }
        }
    }

    private fun onLoanReceived(loads: Double, vm: SimulatedVm) {
        vm.storeShare.receiveLoan(loads, loop.now)
        vm.owned.forEach(::runScheduler)
    }

    private fun reportStatuses() {
        engines.filterNot { it.unavailable }.forEach { owned ->
            val status = owned.scheduler.status(loop.now)
            vms.forEach { vm ->
                loop.scheduleAfter(hopNanos(owned.vm, vm)) { vm.placement.updateStatus(status, loop.now) }
            }
        }
        loop.scheduleAfter(STATUS_NANOS) { reportStatuses() }
    }

    private fun scheduleFault(fault: Fault) {
        when (fault) {
            is Fault.StoreFailure -> {
                loop.scheduleAt(fault.startsAt) { store.failureRatio = fault.failureRatio }
                loop.scheduleAt(fault.endsAt) { store.failureRatio = 0.0 }
            }
            is Fault.EngineLoss -> {
                loop.scheduleAt(fault.startsAt) { failEngine(engines[fault.engine]) }
                loop.scheduleAt(fault.endsAt) { restoreEngine(engines[fault.engine]) }
            }
        }
    }

    /** Dispatches queued and running work of the engine again, as entry VMs do with idempotent work. */
    private fun failEngine(owned: OwnedEngine) {
        owned.unavailable = true
        owned.incarnation += 1
        owned.residentSince.clear()
        val displaced = owned.engine.runningWork + owned.queued.values
        owned.engine.runningWork.forEach { owned.scheduler.onFinished(it.id, 0, loop.now) }
        owned.queued.values.forEach { owned.scheduler.cancel(it.id, loop.now) }
        owned.queued.clear()
        owned.engine.restart()
        vms.forEach { it.placement.removeEngine(owned.entry.id) }
        displaced.forEach { work -> dispatch(work, vms[scenario.arrivals.size % vms.size]) }
    }

    private fun restoreEngine(owned: OwnedEngine) {
        owned.unavailable = false
        owned.scheduler.reset(emptyList(), loop.now)
        runScheduler(owned)
    }

    private companion object {
        const val STATUS_NANOS = 200 * NANOS_PER_MILLI
        const val EVICT_NANOS = 3 * NANOS_PER_MILLI
        const val VM_SEED = 1_000_003L
        const val ENGINE_SEED = 2_000_003L
    }
}
