package io.apricotslip.gateway.order

import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.serving.fleet.Admission
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.order.LoadRequest
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Requests adapter loads from the holder, the node that gives the orders for a server, which may be this node. */
internal class AdapterLoadRequester(
    private val self: VmId,
    private val loop: EventLoop,
    private val fleet: Fleet,
    private val orders: OrderCoordinator,
    private val now: () -> Long,
    private val send: (VmId, FleetMessage) -> Boolean,
) {
    private class SentRequest(
        val server: Server,
        val holder: VmId,
        val adapter: ServedAdapter,
        val done: (String?) -> Unit,
    )

    private val sentRequests = HashMap<Long, SentRequest>()
    private var nextNumber = 0L

    /**
     * Requests the load of [request] on [server].
     *
     * @param missing whether the server reported that it does not have the adapter.
     * @param done receives null when the adapter is loaded, otherwise the reason of the failure.
     */
    fun request(server: Server, request: LoadRequest, missing: Boolean, done: (String?) -> Unit) {
        val holder = orders.nextHop(server.id) ?: return done("no holder")
        if (holder == self) {
            val serverOrders = orders.ordersFor(server.id) ?: return done("no holder")
            return serverOrders.requestLoad(request, missing) { failure, _ -> done(failure) }
        }
        sendRequest(holder, server, request, missing, hops = 0, done)
    }

    private fun sendRequest(
        holder: VmId,
        server: Server,
        request: LoadRequest,
        missing: Boolean,
        hops: Int,
        done: (String?) -> Unit,
    ) {
        val number = nextNumber++
        sentRequests[number] = SentRequest(server, holder, request.adapter, done)
        val waitMillis = request.expiresAt - now()
        val message = FleetMessage.LoadAsk(
            server = server.id,
            adapter = request.adapter.toString(),
            version = request.minVersion,
            missing = missing,
            number = number,
            dueInMillis = request.dueAt - now(),
            expiresInMillis = waitMillis,
            hops = hops,
        )
        if (!send(holder, message)) return finish(number, "no link to the holder")
        loop.schedule(
            { finish(number, "no answer of the holder") },
            waitMillis + ANSWER_MARGIN_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    /**
     * Fails the requests whose holder lost its claim or is not heard any more, as it may never answer, and those for
     * servers that take no requests any more.
     */
    fun failHopeless() {
        val unheard = sentRequests.filterValues { orders.nextHop(it.server.id) != it.holder }.keys
        unheard.forEach { finish(it, "holder lost") }
        val closed = sentRequests.filterValues { fleet.admission(it.server, now()) != Admission.Open }.keys
        closed.forEach { finish(it, "server gone") }
    }

    /** Handles the load request of a peer. */
    fun onRequest(peer: VmId, ask: FleetMessage.LoadAsk) {
        val reply = { failure: String?, version: Long ->
            send(peer, FleetMessage.LoadAnswer(ask.number, failure == null, version, failure))
            Unit
        }
        val adapter = ServedAdapter.parse(ask.adapter)
        val request = LoadRequest(adapter, ask.version, now() + ask.dueInMillis, now() + ask.expiresInMillis)
        val serverOrders = orders.ordersFor(ask.server)
        if (serverOrders != null) return serverOrders.requestLoad(request, ask.missing, reply)
        passOn(peer, ask, request, reply)
    }

    /** Passes the request of [peer], whose hub this node is, on to the holder of the orders. */
    private fun passOn(peer: VmId, ask: FleetMessage.LoadAsk, request: LoadRequest, reply: (String?, Long) -> Unit) {
        val server = fleet[ask.server] ?: return reply("no server", 0)
        val next = orders.nextHop(ask.server)?.takeIf { it != self && it != peer && ask.hops < MAX_HOPS }
            ?: return reply("not the holder", 0)
        sendRequest(next, server, request, ask.missing, ask.hops + 1) { failure ->
            reply(failure, server.adapters[request.adapter] ?: request.minVersion)
        }
    }

    /** Handles the answer of a peer to a load request of this node. */
    fun onAnswer(answer: FleetMessage.LoadAnswer) {
        val sent = sentRequests[answer.number] ?: return
        if (answer.loaded) sent.server.recordLoaded(sent.adapter, answer.version)
        finish(answer.number, if (answer.loaded) null else answer.reason ?: "refused")
    }

    private fun finish(number: Long, failure: String?) {
        sentRequests.remove(number)?.done?.invoke(failure)
    }

    private companion object {
        /** Time for the holder's answer after the wait has ended: one tick of the holder and the network latency. */
        const val ANSWER_MARGIN_MILLIS = 200L

        /** From a node to its hub, to the hub of the holder, to the holder. */
        const val MAX_HOPS = 2
    }
}
