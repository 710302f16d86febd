package io.apricotslip.gateway.order

import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.VmId
import io.apricotslip.gateway.observe.DecisionLog
import io.apricotslip.gateway.observe.GatewayMetrics
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.order.AdapterLoadEstimator
import io.apricotslip.serving.order.AdapterSlots
import io.apricotslip.serving.order.LoadRequest
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Gives the orders for one incarnation of a backend server while this node holds the claim on it. */
internal class ServerOrders(
    val server: Server,
    val slots: AdapterSlots,
    private val fence: FenceNumber,
    private val context: Context,
) {
    /** Collaborators that the orders of all held servers share. */
    class Context(
        val self: VmId,
        val loop: EventLoop,
        val now: () -> Long,
        val sender: OrderSender,
        val log: DecisionLog,
        val metrics: GatewayMetrics,
        val newestVersion: (ServedAdapter) -> Long,
        val loadEstimator: AdapterLoadEstimator,
        val activeStoreLoads: () -> Int,
        val onFenced: (Server) -> Unit,
    )

    private val pendingRequests = ArrayList<PendingRequest>()
    private var closed = false
    private var reportReceived = false
    private var dispatchScheduled = false
    private var lastModelOrderAt = Long.MIN_VALUE / 2

    /**
     * Prepares the first order: makes the server refuse orders of previous holders, then reads the adapters that these
     * left behind. Without the first step a previous holder that wakes up late could fill slots that this one counts as
     * free.
     */
    fun start() {
        val model = server.entry.models.firstOrNull() ?: return schedule(REPORT_LAG_MILLIS, ::requestReport)
        sendOrder(load = true, ServedAdapter(model, null)) { result ->
            when (result) {
                OrderResult.UNKNOWN -> schedule(REPORT_LAG_MILLIS, ::start)
                else -> schedule(REPORT_LAG_MILLIS, ::requestReport)
            }
        }
    }

    private fun requestReport() {
        context.sender.report(server) { report ->
            if (closed) return@report
            if (report == null) return@report schedule(REPORT_LAG_MILLIS, ::requestReport)
            slots.applyReport(report.adapters, context.now())
            report.loading.forEach {
                slots.recordLoadOrdered(it, context.now())
                val unmeasured = OrderedLoad(context.now(), concurrentStoreLoads = 0, cached = true)
                schedule(CONFIRM_INTERVAL_MILLIS) { confirmLoad(it, context.newestVersion(it), unmeasured, 0) }
            }
            reportReceived = true
            publishSlots()
            dispatchRequests()
        }
    }

    /**
     * Requests the load of [request].
     *
     * @param missing whether the server reported that it does not have the adapter.
     * @param done receives null and the loaded version, or the reason of the failure.
     */
    fun requestLoad(request: LoadRequest, missing: Boolean, done: (String?, Long) -> Unit) {
        if (missing) slots.markMissing(request.adapter)
        pendingRequests.add(PendingRequest(request, done))
        dispatchRequests()
    }

    /** Replaces [adapter] by [version], for which no request is waiting yet. */
    fun replace(adapter: ServedAdapter, version: Long) {
        val now = context.now()
        val request = LoadRequest(adapter, version, now + REPLACEMENT_DUE_MILLIS, now + REPLACEMENT_TIMEOUT_MILLIS)
        requestLoad(request, missing = false) { _, _ -> }
    }

    /** Fails load requests that cannot be met in time, and dispatches those that can proceed. */
    fun tick() {
        val late = pendingRequests.filter(::cannotBeMet)
        pendingRequests.removeAll(late)
        late.forEach { it.done("no place in time", 0) }
        dispatchRequests()
    }

    private fun cannotBeMet(pending: PendingRequest): Boolean {
        val needed = if (pending.adapter in slots.loading) 0.0 else expectedLoadMillis(pending.adapter)
        return context.now() + needed > pending.request.expiresAt
    }

    /** Fails all load requests, after the claim was lost or the server was removed. */
    fun close(reason: String) {
        closed = true
        val open = pendingRequests.toList()
        pendingRequests.clear()
        open.forEach { it.done(reason, 0) }
    }

    /** Orders the weights of [model], at most once per [MODEL_ORDER_INTERVAL_MILLIS]. */
    fun loadModel(model: ServedAdapter) {
        val now = context.now()
        if (now - lastModelOrderAt < MODEL_ORDER_INTERVAL_MILLIS) return
        lastModelOrderAt = now
        sendOrder(load = true, model) { }
    }

    private fun dispatchRequests() {
        if (closed || !reportReceived) return
        val now = context.now()
        val order = LoadRequest.byUrgency(now, context.loadEstimator.storeLoadMillis)
        val ordered = pendingRequests.sortedWith(compareBy(order, PendingRequest::request))
        for (pending in ordered) {
            val adapter = pending.adapter
            when (val step = slots.nextStep(adapter, pending.request.minVersion, now, mayLoad(adapter), ::inUse)) {
                AdapterSlots.Step.Present -> complete(pending)
                AdapterSlots.Step.Load -> loadAdapter(adapter)
                AdapterSlots.Step.Wait -> Unit
                is AdapterSlots.Step.Unload -> unload(step.victim)
            }
        }
        if (pendingRequests.isNotEmpty()) scheduleDispatch()
    }

    /** Schedules another dispatch: this node is not notified when adapter slots or the store become free. */
    private fun scheduleDispatch() {
        if (dispatchScheduled) return
        dispatchScheduled = true
        schedule(DISPATCH_INTERVAL_MILLIS) {
            dispatchScheduled = false
            dispatchRequests()
        }
    }

    private fun mayLoad(adapter: ServedAdapter): Boolean = server.recentlyHeld(adapter) ||
        context.loadEstimator.hasCapacity(context.activeStoreLoads())

    private fun inUse(adapter: ServedAdapter): Boolean =
        server.inUse(adapter) || pendingRequests.any { it.adapter == adapter }

    private fun expectedLoadMillis(adapter: ServedAdapter): Double = if (server.recentlyHeld(adapter)) {
        context.loadEstimator.cachedLoadMillis
    } else {
        context.loadEstimator.expectedStoreLoadMillis(context.activeStoreLoads())
    }

    /** Makes changes of the slots visible to the server selection of this node. */
    private fun publishSlots() {
        server.applyHolderReport(slots.resident, slots.loading.toSet(), context.now())
    }

    private fun complete(pending: PendingRequest) {
        if (!pendingRequests.remove(pending)) return
        pending.done(null, slots.resident[pending.adapter] ?: pending.request.minVersion)
    }

    private fun loadAdapter(adapter: ServedAdapter) {
        val expected = expectedLoadMillis(adapter)
        val ordered = OrderedLoad(context.now(), context.activeStoreLoads(), server.recentlyHeld(adapter))
        slots.recordLoadOrdered(adapter, context.now())
        publishSlots()
        val version = context.newestVersion(adapter)
        sendOrder(load = true, adapter) { result ->
            when (result) {
                OrderResult.DONE -> onLoaded(adapter, version)
                OrderResult.ACCEPTED, OrderResult.UNKNOWN ->
                    schedule((expected * FIRST_CONFIRM_RATIO).toLong()) { confirmLoad(adapter, version, ordered, 0) }
                OrderResult.BUSY, OrderResult.FENCED -> onNotLoaded(adapter, permanent = false)
                OrderResult.MISDIRECTED, OrderResult.REJECTED -> onNotLoaded(adapter, permanent = true)
            }
        }
    }

    /**
     * Repeats the order for a load: the server answers [OrderResult.DONE] as soon as the load is complete. A load that
     * was accepted keeps its slot however long it takes, as the server may be about to fill it.
     */
    private fun confirmLoad(adapter: ServedAdapter, version: Long, ordered: OrderedLoad, attempts: Int) {
        sendOrder(load = true, adapter) { result ->
            when (result) {
                OrderResult.DONE -> {
                    recordSample(ordered, attempts)
                    onLoaded(adapter, version)
                }
                OrderResult.REJECTED, OrderResult.MISDIRECTED -> onNotLoaded(adapter, permanent = true)
                else -> {
                    if (attempts == MAX_FAST_CONFIRMS) failRequests(adapter, "load takes too long")
                    schedule(confirmDelay(attempts)) { confirmLoad(adapter, version, ordered, attempts + 1) }
                }
            }
        }
    }

    /** Records the duration of a confirmed load, which on average ended half an interval before its confirmation. */
    private fun recordSample(ordered: OrderedLoad, attempts: Int) {
        if (ordered.cached || attempts >= MAX_FAST_CONFIRMS) return
        val confirmLag = if (attempts == 0) 0 else CONFIRM_INTERVAL_MILLIS / 2
        val concurrency = (ordered.concurrentStoreLoads + 1 + context.activeStoreLoads()) / 2.0
        context.loadEstimator.recordStoreLoad(concurrency, context.now() - ordered.orderedAt - confirmLag)
    }

    private fun confirmDelay(attempts: Int): Long =
        if (attempts < MAX_FAST_CONFIRMS) CONFIRM_INTERVAL_MILLIS else SLOW_CONFIRM_INTERVAL_MILLIS

    private fun onLoaded(adapter: ServedAdapter, version: Long) {
        slots.recordLoaded(adapter, version, context.now())
        publishSlots()
        dispatchRequests()
    }

    /** Handles an order that the server did not accept; requests keep waiting unless the failure is [permanent]. */
    private fun onNotLoaded(adapter: ServedAdapter, permanent: Boolean) {
        slots.recordLoadRefused(adapter)
        publishSlots()
        if (permanent) failRequests(adapter, "order refused") else scheduleDispatch()
    }

    private fun failRequests(adapter: ServedAdapter, reason: String) {
        val failed = pendingRequests.filter { it.adapter == adapter }
        pendingRequests.removeAll(failed)
        failed.forEach { it.done(reason, 0) }
    }

    private fun unload(victim: ServedAdapter) {
        slots.recordUnloadOrdered(victim)
        publishSlots()
        sendUnload(victim, 0)
    }

    private fun sendUnload(victim: ServedAdapter, attempts: Int) {
        sendOrder(load = false, victim) { result ->
            when {
                result == OrderResult.DONE || result == OrderResult.MISDIRECTED -> onUnloaded(victim)
                result == OrderResult.REJECTED -> slots.recordUnloadRefused(victim)
                else -> schedule(confirmDelay(attempts)) { sendUnload(victim, attempts + 1) }
            }
        }
    }

    private fun onUnloaded(victim: ServedAdapter) {
        slots.recordUnloaded(victim)
        publishSlots()
        dispatchRequests()
    }

    private fun sendOrder(load: Boolean, target: ServedAdapter, done: (OrderResult) -> Unit) {
        if (closed) return
        val order = Order(server.id, load, target, context.self, fence)
        context.sender.send(server, order) { result ->
            val name = if (load) "load" else "unload"
            context.metrics.recordOrder(name, result.name.lowercase())
            context.log.write { "event=order order=$name server=${server.id} what=$target fence=$fence result=$result" }
            if (result == OrderResult.FENCED) {
                context.onFenced(server)
            } else if (!closed) {
                done(result)
            }
        }
    }

    private fun schedule(millis: Long, action: () -> Unit) {
        context.loop.schedule({ if (!closed) action() }, millis, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** The report of an engine lags by a few hundred milliseconds. */
        const val REPORT_LAG_MILLIS = 400L

        /** Ratio of the expected load time after which a load is first confirmed, as some loads are shorter. */
        const val FIRST_CONFIRM_RATIO = 0.9

        /** Interval between dispatches while load requests wait; a fraction of the time of a load. */
        const val DISPATCH_INTERVAL_MILLIS = 30L

        /** A new version is needed within a few seconds; older versions serve requests meanwhile. */
        const val REPLACEMENT_DUE_MILLIS = 600L
        const val REPLACEMENT_TIMEOUT_MILLIS = 10_000L

        /** A confirmation costs a small call; a late one delays the request. */
        const val CONFIRM_INTERVAL_MILLIS = 30L

        /** Confirmations until a load or unload counts as slow; more than a second. */
        const val MAX_FAST_CONFIRMS = 40
        const val SLOW_CONFIRM_INTERVAL_MILLIS = 200L
        const val MODEL_ORDER_INTERVAL_MILLIS = 3_000L
    }
}
