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

/** One entry VM: places requests and owns engines. */
internal class ModelVm(val number: Int, val placement: Placement, val share: StoreShare) {
    val owned = ArrayList<OwnedEngine>()
}

/** An engine with the scheduler of its owner. */
internal class OwnedEngine(
    val entry: EngineEntry,
    val vm: ModelVm,
    val scheduler: EngineScheduler,
    loop: EventLoop,
    kind: EngineKind,
    ended: (OwnedEngine, WorkItem, Int) -> Unit,
) {
    val engine = ModelEngine(loop, kind) { work, tokens -> ended(this, work, tokens) }
    val residentSince = HashMap<AdapterVersion, Long>()
    val queued = LinkedHashMap<String, WorkItem>()
    var incarnation = 0
    var lost = false
    var wakeAt = Long.MAX_VALUE
}

/**
 * Runs a scenario through the decision code of all VMs in virtual time. Messages between VMs take one hop; an evict
 * takes the time of a consent and an order.
 */
internal class Fleet(private val scenario: Scenario, private val policy: Policy) {
    private val deployment = scenario.deployment
    private val loop = EventLoop()
    private val store = ModelStore(loop, deployment.store, Random(scenario.seed + 1))
    private val vms = List(deployment.vms) { vm(it) }
    private val engines = deployment.engines.mapIndexed { i, entry -> owned(i, entry) }
    private val byId = engines.associateBy { it.entry.id }
    private val tokens = scenario.arrivals.associate { it.work.id.value to it.tokens }
    private val records = HashMap<String, RequestRecord>()
    private val backlog = Backlog({ loop.now }, ::allTokens)

    fun run(): RunResult {
        shares()
        scenario.arrivals.forEach { arrival -> loop.at(arrival.work.arrivedAt) { arrive(arrival) } }
        scenario.faults.forEach(::plan)
        loop.after(STATUS_NANOS) { tellStatuses() }
        loop.run(scenario.end)
        backlog.close()
        return RunResult(
            scenario = scenario,
            policy = policy.name,
            records = scenario.arrivals.map { records.getValue(it.work.id.value) },
            loads = store.started,
            mostLoadsInFlight = store.mostInFlight,
            backlogSeconds = backlog.seconds,
            backlogTokens = backlog.tokens,
        )
    }

    private fun vm(number: Int): ModelVm {
        val random = Random(scenario.seed * VM_SEED + number)
        val store = deployment.store
        val share = StoreShare(store.loadsPerSecond, store.fullSpeedInFlight, store.maxInFlight, 0.0, policy.share)
        return ModelVm(number, policy.placement(deployment, random), share)
    }

    private fun owned(number: Int, entry: EngineEntry): OwnedEngine {
        val vm = vms[number % vms.size]
        val scheduler = policy.scheduler(deployment, entry, Random(scenario.seed * ENGINE_SEED + number))
        val owned = OwnedEngine(entry, vm, scheduler, loop, deployment.kinds[number], ::streamEnded)
        vm.owned += owned
        return owned
    }

    private fun shares() = vms.forEach { it.share.resize(1.0 / vms.size, 0) }

    private fun arrive(arrival: Arrival) {
        val work = arrival.work
        records[work.id.value] = RequestRecord(work.workClass, work.arrivedAt)
        if (work.workClass == WorkClass.DEFERRABLE) backlog.arrived()
        place(work, vms[arrival.entry])
    }

    private fun place(work: WorkItem, vm: ModelVm) {
        val now = loop.now
        val request = PlacementRequest(work.adapter, work.workClass, work.maxTokens, work.prefixHash)
        val live = engines.filterNot { it.lost }.map { it.entry }
        val chosen = byId.getValue(vm.placement.rank(request, live, now).first())
        vm.placement.recordSent(work.adapter, chosen.entry.id, now)
        loop.after(hop(vm, chosen.vm)) { accept(work, chosen, vm) }
    }

    private fun accept(work: WorkItem, owned: OwnedEngine, entry: ModelVm) {
        if (owned.lost) {
            place(work, entry)
            return
        }
        owned.queued[work.id.value] = work
        owned.scheduler.enqueue(work, loop.now)
        turn(owned)
    }

    private fun hop(from: ModelVm, to: ModelVm): Long = if (from === to) 0 else deployment.hopNanos

    private fun turn(owned: OwnedEngine) {
        if (owned.lost) return
        owned.scheduler.decide(loop.now, owned.vm.share).forEach { carryOut(it, owned) }
        val wake = owned.scheduler.wakeAt(loop.now)
        if (wake != Long.MAX_VALUE && (wake < owned.wakeAt || owned.wakeAt <= loop.now)) {
            owned.wakeAt = wake
            loop.at(maxOf(wake, loop.now + 1)) { if (owned.wakeAt == wake) wake(owned) }
        }
        askForLoans(owned.vm)
    }

    private fun wake(owned: OwnedEngine) {
        owned.wakeAt = Long.MAX_VALUE
        turn(owned)
    }

    private fun carryOut(action: EngineAction, owned: OwnedEngine) {
        when (action) {
            is EngineAction.Start -> start(action.work, owned)
            is EngineAction.Load -> load(action.adapter, owned)
            is EngineAction.Evict -> evict(action.adapter, owned)
            is EngineAction.Refuse -> refuse(action.work, owned)
        }
    }

    private fun start(work: WorkItem, owned: OwnedEngine) {
        val record = records.getValue(work.id.value)
        owned.queued.remove(work.id.value)
        val since = owned.residentSince.getValue(work.adapter)
        record.stall = maxOf(record.stall, since - work.arrivedAt)
        record.startedAt = loop.now
        owned.engine.start(work, tokens.getValue(work.id.value))
    }

    private fun load(adapter: AdapterVersion, owned: OwnedEngine) {
        val incarnation = owned.incarnation
        store.load { succeeded ->
            owned.vm.share.onLoadEnded(loop.now)
            if (incarnation == owned.incarnation) {
                if (succeeded) loaded(adapter, owned) else owned.scheduler.onLoadFailed(adapter, loop.now)
            }
            owned.vm.owned.forEach(::turn)
        }
    }

    private fun loaded(adapter: AdapterVersion, owned: OwnedEngine) {
        check(owned.residentSince.size < owned.entry.slots) { "engine ${owned.entry.id} has no free slot" }
        owned.residentSince[adapter] = loop.now
        owned.scheduler.onLoaded(adapter, loop.now)
    }

    private fun evict(adapter: AdapterVersion, owned: OwnedEngine) {
        check(owned.engine.works.none { it.adapter == adapter }) { "$adapter is in use" }
        val incarnation = owned.incarnation
        loop.after(2 * deployment.hopNanos + EVICT_NANOS) {
            if (incarnation == owned.incarnation) {
                owned.residentSince.remove(adapter)
                owned.scheduler.onEvicted(adapter, loop.now)
                turn(owned)
            }
        }
    }

    private fun refuse(work: WorkItem, owned: OwnedEngine) {
        owned.queued.remove(work.id.value)
        end(work, Ending.REFUSED, 0)
    }

    private fun streamEnded(owned: OwnedEngine, work: WorkItem, tokens: Int) {
        end(work, Ending.COMPLETED, tokens)
        owned.scheduler.onFinished(work.id, tokens, loop.now)
        turn(owned)
    }

    private fun end(work: WorkItem, ending: Ending, tokens: Int) {
        val record = records.getValue(work.id.value)
        record.endedAt = loop.now
        record.ending = ending
        record.tokens = tokens
        if (ending == Ending.REFUSED) record.stall = loop.now - work.arrivedAt
        if (work.workClass == WorkClass.DEFERRABLE) backlog.ended()
    }

    private fun allTokens(): Double {
        engines.forEach { it.engine.advance() }
        return engines.sumOf { it.engine.tokensMade }
    }

    private fun askForLoans(vm: ModelVm) {
        if (!policy.lending) return
        val ask = vm.share.nextLoanRequest(loop.now) ?: return
        vms.filter { it !== vm }.forEach { peer ->
            loop.after(deployment.hopNanos) {
                val lent = peer.share.lend(ask, loop.now)
                if (lent > 0) loop.after(deployment.hopNanos) { lent(lent, vm) }
            }
        }
    }

    private fun lent(loads: Double, vm: ModelVm) {
        vm.share.receiveLoan(loads, loop.now)
        vm.owned.forEach(::turn)
    }

    private fun tellStatuses() {
        engines.filterNot { it.lost }.forEach { owned ->
            val status = owned.scheduler.status(loop.now)
            vms.forEach { vm -> loop.after(hop(owned.vm, vm)) { vm.placement.updateStatus(status, loop.now) } }
        }
        loop.after(STATUS_NANOS) { tellStatuses() }
    }

    private fun plan(fault: Fault) {
        when (fault) {
            is Fault.StoreFails -> {
                loop.at(fault.at) { store.failing = fault.failing }
                loop.at(fault.until) { store.failing = 0.0 }
            }
            is Fault.EngineLost -> {
                loop.at(fault.at) { lose(engines[fault.engine]) }
                loop.at(fault.until) { bringBack(engines[fault.engine]) }
            }
        }
    }

    /** What waits or runs there is placed again, as the entry VMs do with idempotent work. */
    private fun lose(owned: OwnedEngine) {
        owned.lost = true
        owned.incarnation += 1
        owned.residentSince.clear()
        val again = owned.engine.works + owned.queued.values
        owned.engine.works.forEach { owned.scheduler.onFinished(it.id, 0, loop.now) }
        owned.queued.values.forEach { owned.scheduler.cancel(it.id, loop.now) }
        owned.queued.clear()
        owned.engine.restart()
        vms.forEach { it.placement.removeEngine(owned.entry.id) }
        again.forEach { work -> place(work, vms[scenario.arrivals.size % vms.size]) }
    }

    private fun bringBack(owned: OwnedEngine) {
        owned.lost = false
        owned.scheduler.reset(emptyList(), loop.now)
        turn(owned)
    }

    private companion object {
        const val STATUS_NANOS = 200 * NANOS_PER_MILLI
        const val EVICT_NANOS = 3 * NANOS_PER_MILLI
        const val VM_SEED = 1_000_003L
        const val ENGINE_SEED = 2_000_003L
    }
}
