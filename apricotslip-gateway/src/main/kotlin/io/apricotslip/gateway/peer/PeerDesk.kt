package io.apricotslip.gateway.peer

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.serving.member.Members
import io.apricotslip.wire.Message
import io.apricotslip.wire.PeerEvent
import io.apricotslip.wire.PeerNetwork
import io.apricotslip.wire.SendResult
import io.netty.channel.EventLoop
import org.tinylog.kotlin.Logger

/** Links to the other nodes; a node's name is its address. Hands what arrives to the event loop. */
internal class PeerDesk(
    private val network: PeerNetwork,
    private val members: Members,
    private val loop: EventLoop,
    private val zone: ZoneId,
    private val port: Int,
    private val now: () -> Long,
    private val receive: (VmId, FleetMessage) -> Unit,
) {
    private var followed = emptySet<VmId>()
    private var revision = 0L
    private var introducedAt = Long.MIN_VALUE / 2

    fun start() {
        network.start()
        network.events().subscribe({ event -> loop.execute { take(event) } }, ::failed)
        follow()
    }

    /** Opens links to nodes that became known, and makes this node known to seeds that do not open a link to it. */
    fun follow() {
        val at = now()
        if (at - introducedAt >= INTRODUCE_MILLIS) {
            introducedAt = at
            members.silentSeeds(at).forEach { network.connectOnce(vm(it)) }
        }
        val wanted = members.linkTargets(at)
        if (wanted == followed) return
        followed = wanted
        revision++
        network.updatePeers(VmList(ListRevision(revision), wanted.map(::vm)))
    }

    /** Sends [message] to [peer]; returns whether it was handed to a link. */
    fun send(peer: VmId, message: FleetMessage): Boolean =
        network.send(peer, Message.Fleet(message)) == SendResult.QUEUED

    /** Sends [message] to every connected node. */
    fun broadcast(message: FleetMessage) {
        network.connectedPeers().forEach { send(it, message) }
    }

    fun close() {
        network.close()
    }

    private fun take(event: PeerEvent) {
        members.recordMessage(event.peer, now())
        val message = (event as? PeerEvent.Received)?.message as? Message.Fleet ?: return
        receive(event.peer, message.body)
    }

    private fun vm(id: VmId) = Vm(id, zone, id.value, port)

    private fun failed(cause: Throwable) {
        Logger.error(cause) { "event=links_failed" }
    }

    private companion object {
        /** Between introductions to a seed that was not heard: short against a start, long against a handshake. */
        const val INTRODUCE_MILLIS = 700L
    }
}
