package io.apricotslip.wire

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.VmId
import reactor.core.publisher.Flux

/** Result of [PeerNetwork.send]. */
public enum class SendResult {
    /** Handed to the link; it may still be lost. */
    QUEUED,

    /** Proved not sent: there is no link to the peer. */
    NO_LINK,

    /** Proved not sent: the queue of the link is full. */
    FULL,
}

/** Something that happened on the links. */
public sealed class PeerEvent {
    /** The peer on the other side. */
    public abstract val peer: VmId

    /** A link to [peer] is up and its hello was accepted. */
    public data class Up(override val peer: VmId, public val incarnation: Incarnation) : PeerEvent()

    /** The link to [peer] was closed or fell silent. Messages queued on it may be lost. */
    public data class Down(override val peer: VmId, public val reason: String) : PeerEvent()

    /** [message] arrived from [peer]. */
    public data class Received(override val peer: VmId, public val message: Message) : PeerEvent()
}

/** Links to the other nodes. Each pair of nodes shares one link; the node with the lower name opens it. */
public interface PeerNetwork : AutoCloseable {
    /** Starts to listen; returns the bound port. */
    public fun start(): Int

    /** Opens links to the VMs of [list] and closes those to others. */
    public fun updatePeers(list: VmList)

    /**
     * Opens a link to [vm] once, when there is none, whatever the order of the names: a node that the other one does
     * not
     * know yet makes itself known. The link is not opened again when it ends.
     */
    public fun connectOnce(vm: Vm)

    /** Sends [message] to [peer]; never blocks. */
    public fun send(peer: VmId, message: Message): SendResult

    /** Peers with a link that is up. */
    public fun connectedPeers(): Set<VmId>

    /** Events of all links, in order per link; one subscriber. */
    public fun events(): Flux<PeerEvent>
}
