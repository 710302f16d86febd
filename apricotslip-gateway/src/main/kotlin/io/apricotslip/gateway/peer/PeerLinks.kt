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

/** Links to the other nodes. The id of a node is its address. Received messages are handled on the event loop. */
internal class PeerLinks(
    private val network: PeerNetwork,
    private val members: Members,
    private val loop: EventLoop,
    private val zone: ZoneId,
    private val port: Int,
    private val now: () -> Long,
    private val onMessage: (VmId, FleetMessage) -> Unit,
) {
    private var linkedPeers = emptySet<VmId>()
    private var revision = 0L
    private var lastSeedConnectAt = Long.MIN_VALUE / 2

    fun start() {
        network.start()
        network.events().subscribe({ event -> loop.execute { onEvent(event) } }, ::onEventsFailed)
        updateLinks()
    }

    /** Updates the set of linked nodes, and connects once to each silent seed so that it learns of this node. */
    fun updateLinks() {
        val now = now()
        if (now - lastSeedConnectAt >= SEED_CONNECT_INTERVAL_MILLIS) {
            lastSeedConnectAt = now
            members.silentSeeds(now).forEach { network.connectOnce(vm(it)) }
        }
        val targets = members.linkTargets(now)
        if (targets == linkedPeers) return
        linkedPeers = targets
        revision++
        network.updatePeers(VmList(ListRevision(revision), targets.map(::vm)))
    }

    /** Sends [message] to [peer]; returns whether it was queued on a link. */
    fun send(peer: VmId, message: FleetMessage): Boolean =
        network.send(peer, Message.Fleet(message)) == SendResult.QUEUED

    /** Sends [message] to every connected node. */
    fun broadcast(message: FleetMessage) {
        network.connectedPeers().forEach { send(it, message) }
    }

    fun close() {
        network.close()
    }

    private fun onEvent(event: PeerEvent) {
        members.recordMessage(event.peer, now())
        val message = (event as? PeerEvent.Received)?.message as? Message.Fleet ?: return
        onMessage(event.peer, message.body)
    }

    private fun vm(id: VmId) = Vm(id, zone, id.value, port)

    private fun onEventsFailed(cause: Throwable) {
        Logger.error(cause) { "event=links_failed" }
    }

    private companion object {
        /** Interval between connects to silent seeds: short compared with a node start, long with a handshake. */
        const val SEED_CONNECT_INTERVAL_MILLIS = 700L
    }
}
