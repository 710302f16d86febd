package io.apricotslip.core.link

import io.apricotslip.api.id.VmId
import io.apricotslip.core.loop.NodeLoop
import io.apricotslip.safety.Envelope
import io.apricotslip.wire.Message
import io.apricotslip.wire.PeerNetwork
import io.apricotslip.wire.SendResult

/** Sends messages to peers, and to this node itself by a turn of the loop. */
internal class Links(private val self: VmId, private val network: PeerNetwork, private val loop: NodeLoop) {
    private var receiver: (VmId, Message) -> Unit = { _, _ -> }

    /** Sets who takes the messages that this node sends to itself. */
    fun onLocal(receiver: (VmId, Message) -> Unit) {
        this.receiver = receiver
    }

    /** Whether a message to [vm] can be handed to a link now. */
    fun isUp(vm: VmId): Boolean = vm == self || vm in network.connectedPeers()

    /** Sends [message] to [to]; never blocks. */
    fun send(to: VmId, message: Message): SendResult {
        if (to != self) return network.send(to, message)
        loop.run("local_message") { receiver(self, message) }
        return SendResult.QUEUED
    }

    /** Sends each of [envelopes]; the core protocol bears their loss. */
    fun send(envelopes: List<Envelope>) {
        envelopes.forEach { send(it.to, Message.Safety(it.message)) }
    }

    /** Sends [message] to every connected peer. */
    fun broadcast(message: Message) {
        network.connectedPeers().forEach { network.send(it, message) }
    }
}
