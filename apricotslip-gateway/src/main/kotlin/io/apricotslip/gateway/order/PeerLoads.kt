package io.apricotslip.gateway.order

import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Asks the node that gives the orders for a server to load an adapter there; it may be this node itself. */
internal class PeerLoads(
    private val self: VmId,
    private val loop: EventLoop,
    private val orders: OrderDesk,
    private val send: (VmId, FleetMessage) -> Boolean,
) {
    private class Open(val server: Server, val adapter: ServedAdapter, val done: (String?) -> Unit)

    private val open = HashMap<Long, Open>()
    private var number = 0L

    /** Asks for [adapter] at [server]; [done] hears null when it is there, else why not. */
    fun ask(server: Server, adapter: ServedAdapter, version: Long, missing: Boolean, done: (String?) -> Unit) {
        val holder = orders.holder(server.id) ?: return done("no holder")
        if (holder == self) {
            val held = orders.held(server.id) ?: return done("no holder")
            return held.ask(adapter, version, missing) { failure, _ -> done(failure) }
        }
        val asked = number++
        open[asked] = Open(server, adapter, done)
        val message = FleetMessage.LoadAsk(server.id, adapter.toString(), version, missing, asked)
        if (!send(holder, message)) return end(asked, "no link to the holder")
        loop.schedule({ end(asked, "no answer of the holder") }, ANSWER_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** A peer asks this node. */
    fun asked(peer: VmId, ask: FleetMessage.LoadAsk) {
        val reply = { failure: String?, version: Long ->
            send(peer, FleetMessage.LoadAnswer(ask.number, failure == null, version, failure))
            Unit
        }
        val held = orders.held(ask.server) ?: return reply("not the holder", 0)
        held.ask(ServedAdapter.parse(ask.adapter), ask.version, ask.missing, reply)
    }

    /** A peer answers. */
    fun answered(answer: FleetMessage.LoadAnswer) {
        val ask = open[answer.number] ?: return
        if (answer.loaded) ask.server.loaded(ask.adapter, answer.version)
        end(answer.number, if (answer.loaded) null else answer.reason ?: "refused")
    }

    private fun end(number: Long, failure: String?) {
        open.remove(number)?.done?.invoke(failure)
    }

    private companion object {
        /** A little longer than a holder takes at most. */
        const val ANSWER_MILLIS = 1_400L
    }
}
