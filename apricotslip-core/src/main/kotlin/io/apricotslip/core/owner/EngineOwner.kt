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
 * One engine, as its owner or standby serves it: the queue, the streams and the orders. Used on the loop.
 */
internal class EngineOwner(
    private val ctx: OwnerContext,
    private val client: EngineClient,
    private val scheduler: EngineScheduler,
    private val budget: StoreBudget,
) {
    private val engine = client.engine
    private val orders = EngineOrders(ctx, client, scheduler, budget, ::pump)
    private val streams = OwnerStreams(ctx, client, ::ended)
    private val reports = EngineReports(ctx, client, scheduler, orders, ::pump)
    private var wake: Disposable? = null
    private var lastRole: Role = Role.None
    private var pumping = false
    private var pumpAgain = false

    /** Whether the engine answered its last report. */
    val reachable: Boolean get() = reports.reachable

    /** Set once the manifest withdrew the engine or says that it leaves, or this node stops: nothing new is started. */
    var leaving: Boolean = false

    /** Requests that wait or run here. */
    val size: Int get() = streams.size

    /** Role of this node for the engine now. */
    fun role(): Role = ctx.membership.roleFor(engine.id, ctx.loop.now())

    /** Takes a new request of the entry VM [from], or refuses it as not run. */
    fun start(from: VmId, message: Message.GenerateStart) {
        val code = refusalFor()
        if (code != null) return refuseStart(from, message, code)
        val now = ctx.loop.now()
        val work = work(message, now)
        val span = HopSpans.startOwnerSpan(ctx.traces, message, engine)
        if (message.adapter !in scheduler.residentAdapters) orders.awaitLoad(message.adapter)
        streams.add(OwnerCall(message.request, message.adapter, from, message, work, span))
        scheduler.enqueue(work, now)
        pump()
    }

    /** Continues the answer of a request at another entry link or for another owner. */
    fun resume(from: VmId, message: Message.GenerateResume): Unit = streams.resume(from, message)

    /** The caller went away. */
    fun cancel(request: RequestId) {
        val now = ctx.loop.now()
        if (scheduler.cancel(request, now)) streams.drop(request) else streams.cancel(request)
        pump()
    }

    /** The entry VM passed on all tokens before [upTo]. */
    fun credit(request: RequestId, upTo: Int): Unit = streams.credit(request, upTo)

    /** Whether [request] waits or runs here. */
    fun holds(request: RequestId): Boolean = streams[request] != null

    /** A link to [vm] went down or came up. */
    fun peerChanged(vm: VmId, up: Boolean): Unit = streams.peerChanged(vm, up)

    /** Whether this node has a role for the engine, had one at the last tick, or has requests there. */
    fun isInUse(): Boolean = role() != Role.None || lastRole != Role.None || size > 0

    /** Regular work: role changes, reports, expired streams. */
    fun tick() {
        val role = role()
        if (role != lastRole) roleChanged(role)
        scheduler.setOrdersAllowed(allowed = role != Role.None && ctx.membership.leaseHeld(ctx.loop.now()) && reachable)
        if (leaving || role == Role.None || !ctx.membership.leaseHeld(ctx.loop.now())) refuseWaiting()
        if (role == Role.Standby) refuseWithoutRoom()
        streams.orphanedWaiting().forEach { if (scheduler.cancel(it.request, ctx.loop.now())) streams.drop(it.request) }
        streams.expire()
        pump()
    }

    /** Asks the engine for a report. */
    fun poll() {
        if (role() != Role.None || size > 0) reports.poll()
    }

    /** Does what the scheduler decides. A call from within a turn of itself is carried out after that turn. */
    fun pump() {
        pumpAgain = true
        if (pumping) return
        pumping = true
        try {
            while (pumpAgain) {
                pumpAgain = false
                pumpOnce()
            }
        } finally {
            pumping = false
        }
    }

    private fun pumpOnce() {
        orders.settle()
        val now = ctx.loop.now()
        scheduler.decide(now, budget).forEach(::carryOut)
        val status = scheduler.status(now)
        ctx.metrics.recordEngineState(engine.id.value, status.running, engine.batch, status.waiting)
        scheduleWake(scheduler.wakeAt(now), now)
    }

    /** What to tell the other nodes; null unless this node speaks for the engine. */
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
        leaving -> RefusalCode.NO_BACKEND_SERVER
        !reachable -> RefusalCode.NO_BACKEND_SERVER
        else -> null
    }

    private fun work(message: Message.GenerateStart, now: Long) = WorkItem(
        id = message.request,
        adapter = message.adapter,
        workClass = message.workClass,
        customer = message.customer,
        arrivedAt = now,
        deadlineAt = now + message.budgetMillis * NANOS_PER_MILLI,
        maxTokens = message.maxTokens,
        prefixHash = PromptPrefix.hash(message.prompt),
    )

    private fun carryOut(action: EngineAction) {
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
        refuseWithoutRoom()
    }

    /** Only the owner evicts: what waits for room here is refused as not run, and its entry VM asks elsewhere. */
    private fun refuseWithoutRoom() {
        if (scheduler.status(ctx.loop.now()).freeSlots > 0) return
        refuseWaiting { it.adapter !in scheduler.residentAdapters && !orders.isLoading(it.adapter) }
    }

    private fun startOnEngine(action: EngineAction.Start) {
        val work = action.work
        val call = streams[work.id]
        val now = ctx.loop.now()
        if (call == null) return scheduler.onFinished(work.id, 0, now)
        if (!olderOrdersFenced()) return scheduler.onStartRefused(work.id, adapterMissing = false, now = now)
        if (!ctx.guard.mayStart(engine.id, work.adapter, now)) {
            scheduler.onFinished(work.id, 0, now)
            return refuse(work.id, RefusalCode.NOT_READY, Step.START)
        }
        streams.start(call, action.priority, stallNanos = orders.stallNanos(work))
    }

    /**
     * On an engine that checks the fence, an order of a former owner may still be on its way; nothing starts until an
     * order of this tenure was acknowledged, which shuts it out.
     */
    private fun olderOrdersFenced(): Boolean =
        engine.fence == FenceCheck.IGNORED || ctx.guard.olderOrdersFenced(engine.id)

    private fun ended(ending: StreamEnding) {
        val now = ctx.loop.now()
        when (ending) {
            is StreamEnding.Finished -> scheduler.onFinished(ending.call.request, ending.call.next, now)
            is StreamEnding.NotStarted -> notStarted(ending, now)
        }
        pump()
    }

    private fun notStarted(ending: StreamEnding.NotStarted, now: Long) {
        val missing = ending.reason == ADAPTER_NOT_RESIDENT
        ending.call.started = false
        scheduler.onStartRefused(ending.call.request, missing, now)
    }

    private fun roleChanged(role: Role) {
        Logger.info("event=role_changed peer={} from={} to={}", engine.id, lastRole, role)
        lastRole = role
        if (role != Role.None) poll()
    }

    private fun refuseWaiting(which: (OwnerCall) -> Boolean = { true }) {
        streams.waiting().filter(which).forEach { call ->
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
        wake?.dispose()
        if (at == Long.MAX_VALUE) return
        val millis = ((at - now) / NANOS_PER_MILLI).coerceIn(1, MAX_WAKE_MILLIS)
        wake = ctx.loop.after(millis, "engine_wake", ::pump)
    }

    /** The engine as the manifest described it when this owner was made. */
    fun engineEntry(): EngineEntry = engine

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val MAX_WAKE_MILLIS = 1_000L
        const val ADAPTER_NOT_RESIDENT = "adapter_not_resident"
    }
}
