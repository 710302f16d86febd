package io.apricotslip.gateway.order

import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.VmId
import io.apricotslip.gateway.observe.DecisionLog
import io.apricotslip.gateway.observe.GatewayMetrics
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.order.AdapterPlaces
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Gives the orders for one life of one backend server, while this node holds the claim on it. */
internal class ServerOrders(
    val server: Server,
    val places: AdapterPlaces,
    private val fence: FenceNumber,
    private val desk: Desk,
) {
    /** What the orders of all held servers share. */
    class Desk(
        val self: VmId,
        val loop: EventLoop,
        val now: () -> Long,
        val sender: OrderSender,
        val log: DecisionLog,
        val metrics: GatewayMetrics,
        val version: (ServedAdapter) -> Long,
        val inUse: (Server, ServedAdapter) -> Boolean,
        val refused: (Server) -> Unit,
        val changed: () -> Unit,
    )

    private class Ask(val adapter: ServedAdapter, val version: Long, val since: Long, val done: (String?, Long) -> Unit)

    private val asks = ArrayList<Ask>()
    private var closed = false
    private var known = false
    private var modelOrderedAt = Long.MIN_VALUE / 2

    /** Learns from the server what it holds, after its report shows orders of before; nothing is ordered until then. */
    fun begin() {
        later(REPORT_LAG_MILLIS, ::learn)
    }

    private fun learn() {
        desk.sender.report(server) { report ->
            if (closed) return@report
            if (report == null) return@report later(REPORT_LAG_MILLIS, ::learn)
            places.reported(report.adapters, desk.now())
            report.incoming.forEach {
                places.loading(it, desk.now())
                later(LOAD_MILLIS) { confirm(it, desk.version(it), 0) }
            }
            known = true
            desk.changed()
            pump()
        }
    }

    /** Asks for [adapter] in at least [version]; [missing] tells that the server said it does not hold it. */
    fun ask(adapter: ServedAdapter, version: Long, missing: Boolean, done: (String?, Long) -> Unit) {
        if (missing) places.doubted(adapter)
        asks.add(Ask(adapter, version, desk.now(), done))
        pump()
    }

    /** Ends asks that waited too long, and takes those on that can go on. */
    fun tick() {
        val now = desk.now()
        val late = asks.filter { now - it.since > ASK_MILLIS }
        asks.removeAll(late)
        late.forEach { it.done("no place in time", 0) }
        pump()
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
        val now = desk.now()
        if (now - modelOrderedAt < MODEL_MILLIS) return
        modelOrderedAt = now
        order(load = true, model) { }
    }

    private fun pump() {
        if (closed || !known) return
        val now = desk.now()
        for (ask in asks.toList()) {
            when (val step = places.next(ask.adapter, ask.version, now) { desk.inUse(server, it) || wanted(it) }) {
                AdapterPlaces.Step.Present -> finish(ask)
                AdapterPlaces.Step.Load -> load(ask.adapter)
                AdapterPlaces.Step.Wait -> Unit
                is AdapterPlaces.Step.Unload -> unload(step.victim)
            }
        }
    }

    private fun wanted(adapter: ServedAdapter) = asks.any { it.adapter == adapter }

    private fun finish(ask: Ask) {
        if (asks.remove(ask)) ask.done(null, places.resident[ask.adapter] ?: ask.version)
    }

    private fun load(adapter: ServedAdapter) {
        val short = server.heldBefore(adapter)
        places.loading(adapter, desk.now())
        desk.changed()
        val version = desk.version(adapter)
        order(load = true, adapter) { result ->
            when (result) {
                OrderResult.DONE -> loaded(adapter, version)
                OrderResult.ACCEPTED, OrderResult.UNKNOWN ->
                    later(if (short) SHORT_LOAD_MILLIS else LOAD_MILLIS) { confirm(adapter, version, 0) }
                else -> notLoaded(adapter)
            }
        }
    }

    /**
     * Repeats the order of a load: the server answers that it is done as soon as it is. A load that was accepted keeps
     * its
     * place however long it takes, as the server may be about to fill it.
     */
    private fun confirm(adapter: ServedAdapter, version: Long, tries: Int) {
        order(load = true, adapter) { result ->
            when (result) {
                OrderResult.DONE -> loaded(adapter, version)
                OrderResult.REJECTED, OrderResult.MISDIRECTED -> notLoaded(adapter)
                else -> {
                    if (tries == MOST_CONFIRMS) failAsks(adapter, "load takes too long")
                    later(pause(tries)) { confirm(adapter, version, tries + 1) }
                }
            }
        }
    }

    private fun pause(tries: Int): Long = if (tries < MOST_CONFIRMS) CONFIRM_MILLIS else SLOW_CONFIRM_MILLIS

    private fun loaded(adapter: ServedAdapter, version: Long) {
        places.loaded(adapter, version, desk.now())
        server.loaded(adapter, version)
        desk.changed()
        pump()
    }

    private fun notLoaded(adapter: ServedAdapter) {
        places.notLoading(adapter)
        failAsks(adapter, "order refused")
        desk.changed()
    }

    private fun failAsks(adapter: ServedAdapter, reason: String) {
        val failed = asks.filter { it.adapter == adapter }
        asks.removeAll(failed)
        failed.forEach { it.done(reason, 0) }
    }

    private fun unload(victim: ServedAdapter) {
        places.unloading(victim)
        server.lacks(victim)
        desk.changed()
        dropOrder(victim, 0)
    }

    private fun dropOrder(victim: ServedAdapter, tries: Int) {
        order(load = false, victim) { result ->
            when {
                result == OrderResult.DONE || result == OrderResult.MISDIRECTED -> unloaded(victim)
                result == OrderResult.REJECTED -> places.notUnloading(victim)
                else -> later(pause(tries)) { dropOrder(victim, tries + 1) }
            }
        }
    }

    private fun unloaded(victim: ServedAdapter) {
        places.unloaded(victim)
        desk.changed()
        pump()
    }

    private fun order(load: Boolean, what: ServedAdapter, done: (OrderResult) -> Unit) {
        if (closed) return
        val order = Order(server.id, load, what, desk.self, fence)
        desk.sender.send(server, order) { result ->
            val name = if (load) "load" else "unload"
            desk.metrics.ordered(name, result.name.lowercase())
            desk.log.write { "event=order order=$name server=${server.id} what=$what fence=$fence result=$result" }
            if (result == OrderResult.FENCED) {
                desk.refused(server)
            } else if (!closed) {
                done(result)
            }
        }
    }

    private fun later(millis: Long, action: () -> Unit) {
        desk.loop.schedule({ if (!closed) action() }, millis, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** An engine's report is some hundred milliseconds old. */
        const val REPORT_LAG_MILLIS = 400L

        /** Time of an adapter's first load by the deployments' sheets. */
        const val LOAD_MILLIS = 250L

        /** A tenth of that, for an adapter that the server held not long ago. */
        const val SHORT_LOAD_MILLIS = 27L

        /** Between confirmations: a confirmation costs a small call, a late one delays the request. */
        const val CONFIRM_MILLIS = 30L

        /** Confirmations until a load or unload is taken as slow; more than a second. */
        const val MOST_CONFIRMS = 40
        const val SLOW_CONFIRM_MILLIS = 200L

        /** After this an ask is answered, so that the request can go elsewhere within its objective. */
        const val ASK_MILLIS = 1_200L

        /** Between orders of a model's weights to one server. */
        const val MODEL_MILLIS = 3_000L
    }
}
