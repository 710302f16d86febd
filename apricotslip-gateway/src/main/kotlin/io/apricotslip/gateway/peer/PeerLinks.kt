package io.apricotslip.gateway.peer

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.serving.member.FleetExchange
import io.apricotslip.wire.LinkOptions
import io.apricotslip.wire.Message
import io.apricotslip.wire.PeerEvent
import io.apricotslip.wire.PeerNetwork
import io.apricotslip.wire.SendResult
import io.netty.channel.EventLoop
import org.tinylog.kotlin.Logger

/** Links to other nodes. The id of a node is its address. Received messages are handled on the event loop. */
internal class PeerLinks(
    private val network: PeerNetwork,
    private val loop: EventLoop,
    private val zone: ZoneId,
    private val port: Int,
    private val now: () -> Long,
    private val onMessage: (VmId, FleetMessage) -> Unit,
) {
    private var hubs = emptySet<VmId>()
    private var revision = 0L
    private val lastMessageAt = HashMap<VmId, Long>()
    private val missingSince = HashMap<VmId, Long>()

    /** Links that this node has opened for itself. */
    private val opened = HashSet<VmId>()

    fun start() {
        network.start()
        network.events().subscribe({ event -> loop.execute { onEvent(event) } }, ::onEventsFailed)
    }

    /**
     * Opens the links of [wanted] that are missing, and closes those of its own that are not wanted any more and carry
     * no messages; what others have opened they may need. Of two hubs the one with the lower name opens the link; when
     * that one does not know the other, the other opens it after a while.
     */
    fun update(wanted: FleetExchange.Links) {
        val now = now()
        if (wanted.hubs != hubs) {
            hubs = wanted.hubs
            network.updatePeers(VmList(ListRevision(++revision), hubs.map(::vm)))
        }
        val connected = network.connectedPeers()
        missingSince.keys.retainAll(hubs - connected)
        (hubs - connected).filter {
            now - missingSince.getOrPut(it) { now } > CONNECT_PATIENCE_MILLIS
        }.forEach(::connect)
        (wanted.single - connected).forEach(::connect)
        connected.forEach { lastMessageAt.putIfAbsent(it, now) }
        lastMessageAt.keys.retainAll(connected)
        val silent = lastMessageAt.filterValues { now - it > UNUSED_LINK_MILLIS }.keys
        (silent.intersect(opened) - hubs - wanted.single).forEach {
            opened.remove(it)
            network.disconnect(it, "unused")
        }
    }

    /** Sends [message] to [peer]; returns whether it was queued on a link. */
    fun send(peer: VmId, message: FleetMessage): Boolean =
        network.send(peer, Message.Fleet(message)) == SendResult.QUEUED

    /** Sends each of [messages] to those of its receivers that are connected. */
    fun send(messages: List<FleetExchange.Outgoing>) {
        for (outgoing in messages) network.sendAll(outgoing.to, Message.Fleet(outgoing.message))
    }

    fun close() {
        network.close()
    }

    private fun connect(peer: VmId) {
        opened.add(peer)
        network.connectOnce(vm(peer))
    }

    private fun onEvent(event: PeerEvent) {
        val message = (event as? PeerEvent.Received)?.message as? Message.Fleet ?: return
        lastMessageAt[event.peer] = now()
        onMessage(event.peer, message.body)
    }

    private fun vm(id: VmId) = Vm(id, zone, id.value, port)

    private fun onEventsFailed(cause: Throwable) {
        Logger.error(cause) { "event=links_failed" }
    }

    companion object {
        /** More nodes than report to one hub in the largest deployment that is planned. */
        private const val MAX_UNLISTED_LINKS = 1_024

        /**
         * Reports flow more often than heartbeats, which only keep the links that carry none. A link that has gone
         * silent is replaced before the claims that it carries lapse.
         */
        val LINK_OPTIONS = LinkOptions(
            heartbeatMillis = 650,
            silentMillis = 2_000,
            maxUnlistedLinks = MAX_UNLISTED_LINKS,
        )

        /** Time in which the other hub should have opened the link. */
        private const val CONNECT_PATIENCE_MILLIS = 400L

        /** Many intervals of reports. */
        private const val UNUSED_LINK_MILLIS = 4_000L
    }
}
