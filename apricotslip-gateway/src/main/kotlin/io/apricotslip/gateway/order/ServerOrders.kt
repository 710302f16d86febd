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

/** Gives the orders for one life of one backend server, while this node holds the claim on it. */
internal class ServerOrders(
    val server: Server,
    val places: AdapterSlots,
    private val fence: FenceNumber,
    private val context: Context,
) {
    /** What the orders of all held servers share. */
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

    private class Ask(val wanted: LoadRequest, val done: (String?, Long) -> Unit) {
        val adapter = wanted.adapter
    }

    /** A load that was ordered; [beside] are the loads from the store at that time, and [repeated] needs no store. */
    private class Ordered(val at: Long, val beside: Int, val repeated: Boolean)

    private val asks = ArrayList<Ask>()
    private var closed = false
    private var known = false
    private var pumping = false
    private var modelOrderedAt = Long.MIN_VALUE / 2

    /** Learns from the server what it holds, after its report shows orders of before; nothing is ordered until then. */
    fun begin() {
        later(REPORT_LAG_MILLIS, ::learn)
    }

    private fun learn() {
        context.sender.report(server) { report ->
            if (closed) return@report
            if (report == null) return@report later(REPORT_LAG_MILLIS, ::learn)
            places.applyReport(report.adapters, context.now())
            report.loading.forEach {
                places.recordLoadOrdered(it, context.now())
                val unknown = Ordered(context.now(), beside = 0, repeated = true)
                later(CONFIRM_MILLIS) { confirm(it, context.newestVersion(it), unknown, 0) }
            }
            known = true
            changed()
            pump()
        }
    }

    /** Asks for the load of [wanted]; [missing] tells that the server said it does not hold the adapter. */
    fun ask(wanted: LoadRequest, missing: Boolean, done: (String?, Long) -> Unit) {
        if (missing) places.markMissing(wanted.adapter)
        asks.add(Ask(wanted, done))
        pump()
    }

    /** Replaces [adapter] by [version], which no request waits for yet. */
    fun renew(adapter: ServedAdapter, version: Long) {
        val now = context.now()
        ask(LoadRequest(adapter, version, now + RENEW_DUE_MILLIS, now + RENEW_MILLIS), missing = false) { _, _ -> }
    }

    /** Ends asks that cannot be met in time, and takes those on that can go on. */
    fun tick() {
        val late = asks.filter(::hopeless)
        asks.removeAll(late)
        late.forEach { it.done("no place in time", 0) }
        pump()
    }

    private fun hopeless(ask: Ask): Boolean {
        val needed = if (ask.adapter in places.loading) 0.0 else loadMillis(ask.adapter)
        return context.now() + needed > ask.wanted.expiresAt
    }

    /** Ends all asks: the claim was lost or the server is gone. */
    fun close(reason: String) {
        closed = true
        val open = asks.toList()
        asks.clear()
        open.forEach { it.done(reason, 0) }
    }

    /** Orders the weights of [model], at most once in a while. */
    fun model(model: ServedAdapter) {
        val now = context.now()
        if (now - modelOrderedAt < MODEL_MILLIS) return
        modelOrderedAt = now
        order(load = true, model) { }
    }

    private fun pump() {
        if (closed || !known) return
        val now = context.now()
        val ordered = asks.sortedWith(compareBy(LoadRequest.byUrgency(now, context.loadEstimator.storeLoadMillis), Ask::wanted))
        for (ask in ordered) {
            val wanted = ask.wanted
            when (val step = places.nextStep(wanted.adapter, wanted.minVersion, now, mayLoad(ask.adapter), ::inUse)) {
                AdapterSlots.Step.Present -> finish(ask)
                AdapterSlots.Step.Load -> load(ask.adapter)
                AdapterSlots.Step.Wait -> Unit
                is AdapterSlots.Step.Unload -> unload(step.victim)
            }
        }
        if (asks.isNotEmpty()) pumpSoon()
    }

    /** Looks again soon: places and the store become free without a word to this node. */
    private fun pumpSoon() {
        if (pumping) return
        pumping = true
        later(PUMP_MILLIS) {
            pumping = false
            pump()
        }
    }

    private fun mayLoad(adapter: ServedAdapter): Boolean = server.recentlyHeld(adapter) ||
        context.loadEstimator.hasCapacity(context.activeStoreLoads())

    private fun inUse(adapter: ServedAdapter): Boolean =
        server.inUse(adapter, context.now()) || asks.any { it.adapter == adapter }

    private fun loadMillis(adapter: ServedAdapter): Double =
        if (server.recentlyHeld(adapter)) {
            context.loadEstimator.cachedLoadMillis
        } else {
            context.loadEstimator.expectedStoreLoadMillis(context.activeStoreLoads())
        }

    /** Lets this node's own choices see what changed. */
    private fun changed() {
        server.applyHolderReport(places.resident, places.loading.toSet(), context.now())
    }

    private fun finish(ask: Ask) {
        if (asks.remove(ask)) ask.done(null, places.resident[ask.adapter] ?: ask.wanted.minVersion)
    }

    private fun load(adapter: ServedAdapter) {
        val expected = loadMillis(adapter)
        val ordered = Ordered(context.now(), context.activeStoreLoads(), server.recentlyHeld(adapter))
        places.recordLoadOrdered(adapter, context.now())
        changed()
        val version = context.newestVersion(adapter)
        order(load = true, adapter) { result ->
            when (result) {
                OrderResult.DONE -> loaded(adapter, version)
                OrderResult.ACCEPTED, OrderResult.UNKNOWN ->
                    later((expected * FIRST_CONFIRM_SHARE).toLong()) { confirm(adapter, version, ordered, 0) }
                OrderResult.BUSY, OrderResult.FENCED -> notLoaded(adapter, failed = false)
                OrderResult.MISDIRECTED, OrderResult.REJECTED -> notLoaded(adapter, failed = true)
            }
        }
    }

    /**
     * Repeats the order of a load: the server answers that it is done as soon as it is. A load that was accepted keeps
     * its place however long it takes, as the server may be about to fill it.
     */
    private fun confirm(adapter: ServedAdapter, version: Long, ordered: Ordered, tries: Int) {
        order(load = true, adapter) { result ->
            when (result) {
                OrderResult.DONE -> {
                    learn(ordered, tries)
                    loaded(adapter, version)
                }
                OrderResult.REJECTED, OrderResult.MISDIRECTED -> notLoaded(adapter, failed = true)
                else -> {
                    if (tries == MOST_CONFIRMS) failAsks(adapter, "load takes too long")
                    later(pause(tries)) { confirm(adapter, version, ordered, tries + 1) }
                }
            }
        }
    }

    /** Learns from a confirmed load, which ended half a pause before the confirmation on average. */
    private fun learn(ordered: Ordered, tries: Int) {
        if (ordered.repeated || tries >= MOST_CONFIRMS) return
        val before = if (tries == 0) 0 else CONFIRM_MILLIS / 2
        val underWay = (ordered.beside + 1 + context.activeStoreLoads()) / 2.0
        context.loadEstimator.recordStoreLoad(underWay, context.now() - ordered.at - before)
    }

    private fun pause(tries: Int): Long = if (tries < MOST_CONFIRMS) CONFIRM_MILLIS else SLOW_CONFIRM_MILLIS

    private fun loaded(adapter: ServedAdapter, version: Long) {
        places.recordLoaded(adapter, version, context.now())
        changed()
        pump()
    }

    /** The server did not take the order; asks go on waiting unless it [failed] for good. */
    private fun notLoaded(adapter: ServedAdapter, failed: Boolean) {
        places.recordLoadRefused(adapter)
        changed()
        if (failed) failAsks(adapter, "order refused") else pumpSoon()
    }

    private fun failAsks(adapter: ServedAdapter, reason: String) {
        val failed = asks.filter { it.adapter == adapter }
        asks.removeAll(failed)
        failed.forEach { it.done(reason, 0) }
    }

    private fun unload(victim: ServedAdapter) {
        places.recordUnloadOrdered(victim)
        changed()
        dropOrder(victim, 0)
    }

    private fun dropOrder(victim: ServedAdapter, tries: Int) {
        order(load = false, victim) { result ->
            when {
                result == OrderResult.DONE || result == OrderResult.MISDIRECTED -> unloaded(victim)
                result == OrderResult.REJECTED -> places.recordUnloadRefused(victim)
                else -> later(pause(tries)) { dropOrder(victim, tries + 1) }
            }
        }
    }

    private fun unloaded(victim: ServedAdapter) {
        places.recordUnloaded(victim)
        changed()
        pump()
    }

    private fun order(load: Boolean, what: ServedAdapter, done: (OrderResult) -> Unit) {
        if (closed) return
        val order = Order(server.id, load, what, context.self, fence)
        context.sender.send(server, order) { result ->
            val name = if (load) "load" else "unload"
            context.metrics.recordOrder(name, result.name.lowercase())
            context.log.write { "event=order order=$name server=${server.id} what=$what fence=$fence result=$result" }
            if (result == OrderResult.FENCED) {
                context.onFenced(server)
            } else if (!closed) {
                done(result)
            }
        }
    }

    private fun later(millis: Long, action: () -> Unit) {
        context.loop.schedule({ if (!closed) action() }, millis, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** An engine's report is some hundred milliseconds old. */
        const val REPORT_LAG_MILLIS = 400L

        /** Part of the expected time of a load after which it is confirmed first: some loads are shorter. */
        const val FIRST_CONFIRM_SHARE = 0.9

        /** While requests wait; a part of a load. */
        const val PUMP_MILLIS = 30L

        /** A new version is needed within a few seconds; older ones answer meanwhile. */
        const val RENEW_DUE_MILLIS = 600L
        const val RENEW_MILLIS = 10_000L

        /** Between confirmations: a confirmation costs a small call, a late one delays the request. */
        const val CONFIRM_MILLIS = 30L

        /** Confirmations until a load or unload is taken as slow; more than a second. */
        const val MOST_CONFIRMS = 40
        const val SLOW_CONFIRM_MILLIS = 200L

        /** Between orders of a model's weights to one server. */
        const val MODEL_MILLIS = 3_000L
    }
}
