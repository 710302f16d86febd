package io.apricotslip.wire

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.VmId
import reactor.core.publisher.Flux

/** Result of [PeerNetwork.send]. */
public enum class SendResult {
    /** Queued on the link; the message may still be lost. */
    QUEUED,

    /** Definitely not sent: there is no link to the peer. */
    NO_LINK,

    /** Definitely not sent: the queue of the link is full, or the message is longer than the maximum frame. */
    FULL,
}

/** An event on a link. */
public sealed class PeerEvent {
    /** The peer at the other end of the link. */
    public abstract val peer: VmId

    /** A link to [peer] is up: its hello was accepted. */
    public data class Up(override val peer: VmId, public val incarnation: Incarnation) : PeerEvent()

    /** The link to [peer] was closed or timed out. Messages queued on it may be lost. */
    public data class Down(override val peer: VmId, public val reason: String) : PeerEvent()

    /** [message] arrived from [peer]. */
    public data class Received(override val peer: VmId, public val message: Message) : PeerEvent()
}

/** Links to the other nodes. Each pair of nodes shares one link; the node with the lower name opens it. */
public interface PeerNetwork : AutoCloseable {
    /** Starts listening and returns the bound port. */
    public fun start(): Int

    /** Opens links to the VMs of [list] and closes the links to VMs that [list] no longer contains. */
    public fun updatePeers(list: VmList)

    /**
     * Opens a link to [vm] if there is none, regardless of the order of the names, so that a node can announce itself
     * to a peer that does not know it yet. The link is not reopened when it ends.
     */
    public fun connectOnce(vm: Vm)

    /** Sends [message] to [peer]; never blocks. */
    public fun send(peer: VmId, message: Message): SendResult

    /** Sends [message] to those of [peers] to which a link is up, encoding it once; never blocks. */
    public fun sendAll(peers: Collection<VmId>, message: Message)

    /** Closes the link to [peer], if there is one, for [reason]. */
    public fun disconnect(peer: VmId, reason: String)

    /** Whether a link to [peer] is up. */
    public fun isConnected(peer: VmId): Boolean

    /** Peers to which a link is up. */
    public fun connectedPeers(): Set<VmId>

    /** Events of all links, in order per link. Supports a single subscriber. */
    public fun events(): Flux<PeerEvent>
}
