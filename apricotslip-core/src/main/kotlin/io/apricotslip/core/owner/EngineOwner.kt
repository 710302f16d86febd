package io.apricotslip.core.owner

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.manifest.FenceCheck
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.outcome.Step
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.backends.engine.EngineClient
import io.apricotslip.core.observe.HopSpans
import io.apricotslip.core.prompt.PromptPrefix
import io.apricotslip.rules.engine.EngineAction
import io.apricotslip.rules.engine.EngineScheduler
import io.apricotslip.rules.engine.WorkItem
import io.apricotslip.rules.store.StoreBudget
import io.apricotslip.safety.OwnershipRanking
import io.apricotslip.safety.Role
import io.apricotslip.wire.Message
import org.tinylog.kotlin.Logger
import reactor.core.Disposable

/**
 * Serves one engine as its owner or standby: queues requests, runs their streams, and sends load and evict orders.
 * Confined to the node's event loop.
 */
internal class EngineOwner(
    private val ctx: OwnerContext,
    private val client: EngineClient,
    private val scheduler: EngineScheduler,
    private val budget: StoreBudget,
) {
    private val engine = client.engine
    private val orders = EngineOrders(ctx, client, scheduler, budget, ::dispatch)
    private val streams = OwnerStreams(ctx, client, ::onStreamEnded)
    private val reports = EngineReports(ctx, client, scheduler, orders, ::dispatch)
    private var wakeTimer: Disposable? = null
    private var lastRole: Role = Role.None
    private var dispatching = false
    private var dispatchAgain = false

    /** Whether the engine answered the last report request. */
    val reachable: Boolean get() = reports.reachable

    /**
     * Whether the engine starts no new requests: the manifest removed it or marks it as leaving, or this node is
     * stopping.
     */
    var draining: Boolean = false

    /** Number of requests that wait or run here. */
    val size: Int get() = streams.size

    /** Current role of this node for the engine. */
    fun role(): Role = ctx.membership.roleFor(engine.id, ctx.loop.now())

    /** Queues a new request from the entry VM [from], or refuses it with the certainty that it did not run. */
    fun start(from: VmId, message: Message.GenerateStart) {
        val code = refusalFor()
        if (code != null) return refuseStart(from, message, code)
        val now = ctx.loop.now()
        val work = createWork(message, now)
        val span = HopSpans.startOwnerSpan(ctx.traces, message, engine)
        if (message.adapter !in scheduler.residentAdapters) orders.markAdapterMissing(message.adapter)
        streams.add(OwnerCall(message.request, message.adapter, from, message, work, span))
        scheduler.enqueue(work, now)
        dispatch()
    }

    /** Continues the stream of a request for the entry VM [from], over a new link or in place of another owner. */
    fun resume(from: VmId, message: Message.GenerateResume): Unit = streams.resume(from, message)

    /** Cancels [request] after its caller disconnected. */
    fun cancel(request: RequestId) {
        val now = ctx.loop.now()
        if (scheduler.cancel(request, now)) streams.drop(request) else streams.cancel(request)
        dispatch()
    }

    /** Records that the entry VM has forwarded all tokens before offset [upTo]. */
    fun credit(request: RequestId, upTo: Int): Unit = streams.credit(request, upTo)

    /** Whether [request] waits or runs here. */
    fun contains(request: RequestId): Boolean = streams[request] != null

    /** Handles a change of the link to [vm]. */
    fun peerLinkChanged(vm: VmId, up: Boolean): Unit = streams.peerLinkChanged(vm, up)

    /** Whether this node has a role for the engine, had one at the last tick, or has requests there. */
    fun isInUse(): Boolean = role() != Role.None || lastRole != Role.None || size > 0

    /** Periodic work: applies role changes, refuses requests that cannot start here, and expires orphaned streams. */
    fun tick() {
        val role = role()
        if (role != lastRole) onRoleChanged(role)
        scheduler.setOrdersAllowed(allowed = role != Role.None && ctx.membership.leaseHeld(ctx.loop.now()) && reachable)
        if (draining || role == Role.None || !ctx.membership.leaseHeld(ctx.loop.now())) refuseWaiting()
        if (role == Role.Standby) refuseWaitingForSlot()
        streams.waitingOrphans().forEach { if (scheduler.cancel(it.request, ctx.loop.now())) streams.drop(it.request) }
        streams.expire()
        dispatch()
    }

    /** Requests a report from the engine while this node has a role for it or requests there. */
    fun pollReport() {
        if (role() != Role.None || size > 0) reports.poll()
    }

    /** Executes the decisions of the scheduler. A reentrant call runs after the current pass has ended. */
    fun dispatch() {
        dispatchAgain = true
        if (dispatching) return
        dispatching = true
        try {
            while (dispatchAgain) {
                dispatchAgain = false
                dispatchOnce()
            }
        } finally {
            dispatching = false
        }
    }

    private fun dispatchOnce() {
        orders.processPending()
        val now = ctx.loop.now()
        scheduler.decide(now, budget).forEach(::execute)
        val status = scheduler.status(now)
        ctx.metrics.recordEngineState(engine.id.value, status.running, engine.batch, status.waiting)
        scheduleWake(scheduler.wakeAt(now), now)
    }

    /**
     * Status to send to the other nodes; null unless this node reports for the engine. The owner does, and the standby
     * does while the link to the owner is down.
     */
    fun status(): EngineStatus? {
        if (!reachable) return null
        return when (role()) {
            is Role.Owner -> scheduler.status(ctx.loop.now())
            is Role.Standby -> scheduler.status(ctx.loop.now()).copy(evictable = false).takeUnless { ownerIsUp() }
            is Role.None -> null
        }
    }

    private fun ownerIsUp(): Boolean {
        val vms = ctx.membership.tenured?.vms.orEmpty()
        return OwnershipRanking.rank(engine.id, vms).firstOrNull()?.let(ctx.links::isUp) == true
    }

    private fun refusalFor(): RefusalCode? = when {
        role() == Role.None || !ctx.membership.leaseHeld(ctx.loop.now()) -> RefusalCode.NOT_READY
        draining -> RefusalCode.NO_BACKEND_SERVER
        !reachable -> RefusalCode.NO_BACKEND_SERVER
        else -> null
    }

    private fun createWork(message: Message.GenerateStart, now: Long) = WorkItem(
        id = message.request,
        adapter = message.adapter,
        workClass = message.workClass,
        customer = message.customer,
        arrivedAt = now,
        deadlineAt = now + message.budgetMillis * NANOS_PER_MILLI,
        maxTokens = message.maxTokens,
        prefixHash = PromptPrefix.hash(message.prompt),
    )

    private fun execute(action: EngineAction) {
        when (action) {
            is EngineAction.Start -> startOnEngine(action)
            is EngineAction.Load -> orders.load(action.adapter)
            is EngineAction.Evict -> evict(action.adapter)
            is EngineAction.Refuse -> refuse(action.work.id, action.code, Step.QUEUE)
        }
    }

    private fun evict(adapter: AdapterVersion) {
        if (role() == Role.Owner) return orders.evict(adapter)
        scheduler.onEvictRefused(adapter, ctx.loop.now())
        refuseWaitingForSlot()
    }

    /**
     * Refuses the requests that wait for an adapter slot when none is free. Only the owner evicts; a refusal with the
     * certainty that the request did not run lets its entry VM try another server.
     */
    private fun refuseWaitingForSlot() {
        if (scheduler.status(ctx.loop.now()).freeSlots > 0) return
        refuseWaiting { it.adapter !in scheduler.residentAdapters && !orders.isLoading(it.adapter) }
    }

    private fun startOnEngine(action: EngineAction.Start) {
        val work = action.work
        val call = streams[work.id]
        val now = ctx.loop.now()
        if (call == null) return scheduler.onFinished(work.id, 0, now)
        if (!mayStartAfterFormerOwner()) return scheduler.onStartRefused(work.id, adapterMissing = false, now = now)
        if (!ctx.guard.mayStart(engine.id, work.adapter, now)) {
            scheduler.onFinished(work.id, 0, now)
            return refuse(work.id, RefusalCode.NOT_READY, Step.START)
        }
        streams.start(call, action.priority, stallNanos = orders.stallNanos(work))
    }

    /**
     * Whether requests may start in spite of the orders of a former owner. On an engine that checks the fencing token,
     * such an order may still be in flight; no request starts until an order of this tenure is acknowledged, because
     * from then on the engine rejects older fencing tokens.
     */
    private fun mayStartAfterFormerOwner(): Boolean =
        engine.fence == FenceCheck.IGNORED || ctx.guard.olderOrdersFenced(engine.id)

    private fun onStreamEnded(ending: StreamEnding) {
        val now = ctx.loop.now()
        when (ending) {
            is StreamEnding.Finished -> scheduler.onFinished(ending.call.request, ending.call.nextOffset, now)
            is StreamEnding.NotStarted -> onNotStarted(ending, now)
        }
        dispatch()
    }

    private fun onNotStarted(ending: StreamEnding.NotStarted, now: Long) {
        val missing = ending.reason == ADAPTER_NOT_RESIDENT
        ending.call.started = false
        scheduler.onStartRefused(ending.call.request, missing, now)
    }

    private fun onRoleChanged(role: Role) {
        Logger.info("event=role_changed peer={} from={} to={}", engine.id, lastRole, role)
        lastRole = role
        if (role != Role.None) pollReport()
    }

    private fun refuseWaiting(predicate: (OwnerCall) -> Boolean = { true }) {
        streams.waiting().filter(predicate).forEach { call ->
            if (scheduler.cancel(call.request, ctx.loop.now())) refuse(call.request, RefusalCode.NOT_READY, Step.QUEUE)
        }
    }

    private fun refuse(request: RequestId, code: RefusalCode, step: Step) {
        val refusal = Refusal(code, step, engine.id.value, Certainty.NOT_RUN, "the engine did not start the request")
        streams.refuse(request, refusal)
    }

    private fun refuseStart(from: VmId, message: Message.GenerateStart, code: RefusalCode) {
        val refusal =
            Refusal(code, Step.ROUTE, ctx.self.value, Certainty.NOT_RUN, "this VM does not serve ${engine.id} now")
        ctx.links.send(from, Message.GenerateRefused(message.request, refusal))
    }

    private fun scheduleWake(at: Long, now: Long) {
        wakeTimer?.dispose()
        if (at == Long.MAX_VALUE) return
        val millis = ((at - now) / NANOS_PER_MILLI).coerceIn(1, MAX_WAKE_MILLIS)
        wakeTimer = ctx.loop.after(millis, "engine_wake", ::dispatch)
    }

    /** Manifest entry of the engine at the time this owner was created. */
    fun engineEntry(): EngineEntry = engine

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val MAX_WAKE_MILLIS = 1_000L
        const val ADAPTER_NOT_RESIDENT = "adapter_not_resident"
    }
}
