package io.apricotslip.core.link

import io.apricotslip.api.id.VmId
import io.apricotslip.core.loop.NodeLoop
import io.apricotslip.safety.Envelope
import io.apricotslip.wire.Message
import io.apricotslip.wire.PeerNetwork
import io.apricotslip.wire.SendResult

/**
 * Sends messages to peers over the network. Messages to this node itself are delivered as a separate task on the event
 * loop.
 */
internal class Links(private val self: VmId, private val network: PeerNetwork, private val loop: NodeLoop) {
    private var localReceiver: (VmId, Message) -> Unit = { _, _ -> }

    /** Sets the [receiver] of the messages that this node sends to itself. */
    fun onLocalMessage(receiver: (VmId, Message) -> Unit) {
        localReceiver = receiver
    }

    /** Whether [vm] is this node or a connected peer. */
    fun isUp(vm: VmId): Boolean = vm == self || vm in network.connectedPeers()

    /** Queues [message] for [to] without blocking; the result says whether the link accepted it. */
    fun send(to: VmId, message: Message): SendResult {
        if (to != self) return network.send(to, message)
        loop.run("local_message") { localReceiver(self, message) }
        return SendResult.QUEUED
    }

    /** Sends each of [envelopes], ignoring send results: the core protocol tolerates message loss. */
    fun send(envelopes: List<Envelope>) {
        envelopes.forEach { send(it.to, Message.Safety(it.message)) }
    }

    /** Sends [message] to every connected peer. */
    fun broadcast(message: Message) {
        network.connectedPeers().forEach { network.send(it, message) }
    }
}
