package io.apricotslip.gateway.order

import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.order.LoadRequest
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Asks the node that gives the orders for a server to load an adapter there; it may be this node itself. */
internal class AdapterLoadRequester(
    private val self: VmId,
    private val loop: EventLoop,
    private val orders: OrderCoordinator,
    private val now: () -> Long,
    private val send: (VmId, FleetMessage) -> Boolean,
) {
    private class Open(val server: Server, val adapter: ServedAdapter, val done: (String?) -> Unit)

    private val open = HashMap<Long, Open>()
    private var number = 0L

    /** Asks for [adapter] at [server]; [done] hears null when it is there, else why not. */
    fun request(server: Server, wanted: LoadRequest, missing: Boolean, done: (String?) -> Unit) {
        val holder = orders.holder(server.id) ?: return done("no holder")
        if (holder == self) {
            val held = orders.held(server.id) ?: return done("no holder")
            return held.ask(wanted, missing) { failure, _ -> done(failure) }
        }
        val asked = number++
        open[asked] = Open(server, wanted.adapter, done)
        val wait = wanted.expiresAt - now()
        val message = FleetMessage.LoadAsk(
            server = server.id,
            adapter = wanted.adapter.toString(),
            version = wanted.minVersion,
            missing = missing,
            number = asked,
            dueMillis = wanted.dueAt - now(),
            untilMillis = wait,
        )
        if (!send(holder, message)) return end(asked, "no link to the holder")
        loop.schedule({ end(asked, "no answer of the holder") }, wait + ANSWER_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** A peer asks this node. */
    fun onRequest(peer: VmId, ask: FleetMessage.LoadAsk) {
        val reply = { failure: String?, version: Long ->
            send(peer, FleetMessage.LoadAnswer(ask.number, failure == null, version, failure))
            Unit
        }
        val held = orders.held(ask.server) ?: return reply("not the holder", 0)
        val adapter = ServedAdapter.parse(ask.adapter)
        val wanted = LoadRequest(adapter, ask.version, now() + ask.dueMillis, now() + ask.untilMillis)
        held.ask(wanted, ask.missing, reply)
    }

    /** A peer answers. */
    fun onAnswer(answer: FleetMessage.LoadAnswer) {
        val ask = open[answer.number] ?: return
        if (answer.loaded) ask.server.recordLoaded(ask.adapter, answer.version)
        end(answer.number, if (answer.loaded) null else answer.reason ?: "refused")
    }

    private fun end(number: Long, failure: String?) {
        open.remove(number)?.done?.invoke(failure)
    }

    private companion object {
        /** Time for the holder's answer after the wait is over: a tick of the holder and the way. */
        const val ANSWER_MILLIS = 200L
    }
}
