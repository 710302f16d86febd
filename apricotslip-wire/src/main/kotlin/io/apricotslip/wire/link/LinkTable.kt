package io.apricotslip.wire.link

import io.apricotslip.api.id.VmId
import io.apricotslip.wire.PeerEvent
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import org.tinylog.kotlin.Logger
import java.util.concurrent.ConcurrentHashMap

/**
 * The links of a node, at most one per peer. The newest hello of a peer wins: its link replaces the current one. An
 * older hello of the same incarnation is refused.
 */
internal class LinkTable(private val self: VmId, private val maxUnlistedLinks: Int, private val inbox: Inbox) {
    /**
     * State of one peer. [serveLock] serializes its links, so that the old link is reported as down before the new one
     * is reported as up.
     */
    private class PeerSlot {
        val serveLock = Mutex()
        var newest: Link? = null
    }

    private val slots = HashMap<VmId, PeerSlot>()
    private val activeLinks = ConcurrentHashMap<VmId, Link>()
    private var listedPeers = emptySet<VmId>()

    /** The link to [peer] that is up, or null. */
    operator fun get(peer: VmId): Link? = activeLinks[peer]

    /** Peers to which a link is up. */
    fun connectedPeers(): Set<VmId> = activeLinks.keys.toSet()

    /** Replaces the listed peers by [peers] and closes the links to peers that are no longer listed. */
    @Synchronized
    fun setListedPeers(peers: Set<VmId>) {
        val removed = listedPeers - peers
        listedPeers = peers
        removed.forEach { close(it, "no longer listed") }
    }

    /** Closes the newest link to [peer], if there is one. */
    @Synchronized
    fun close(peer: VmId, reason: String) {
        slots[peer]?.newest?.close(reason)
    }

    /** Serves [link] until it is closed; waits first for an older link of the same peer to end. */
    suspend fun serve(link: Link) {
        val slot = register(link) ?: return
        try {
            slot.serveLock.withLock { serveExclusively(link) }
        } finally {
            unregister(slot, link)
        }
    }

    private suspend fun serveExclusively(link: Link) {
        if (link.isClosed()) return
        activeLinks[link.peer] = link
        try {
            inbox.deliver(PeerEvent.Up(link.peer, link.hello.incarnation))
            Logger.info { "event=link_up step=link peer=${link.peer} build=${link.hello.build}" }
            link.serve(inbox)
        } finally {
            activeLinks.remove(link.peer, link)
            val reason = link.close("stopped")
            Logger.info { "event=link_down step=link peer=${link.peer} reason=\"$reason\"" }
            withContext(NonCancellable) { inbox.deliver(PeerEvent.Down(link.peer, reason)) }
        }
    }

    @Synchronized
    private fun register(link: Link): PeerSlot? {
        val rejection = rejectionReason(link)
        if (rejection != null) {
            Logger.warn { "event=link_refused step=hello peer=${link.peer} reason=\"$rejection\"" }
            link.close(rejection)
            return null
        }
        val slot = slots.getOrPut(link.peer) { PeerSlot() }
        slot.newest?.close("replaced by a newer link")
        slot.newest = link
        return slot
    }

    private fun rejectionReason(link: Link): String? {
        if (link.peer == self) return "peer uses the name of this node"
        val newest = slots[link.peer]?.newest
        if (newest != null) return "older link".takeIf { link.hello.isOlderThan(newest.hello) }
        if (link.peer in listedPeers) return null
        val unlistedLinks = slots.keys.count { it !in listedPeers }
        return "too many unlisted peers".takeIf { unlistedLinks >= maxUnlistedLinks }
    }

    @Synchronized
    private fun unregister(slot: PeerSlot, link: Link) {
        if (slot.newest === link) slots.remove(link.peer)
    }
}
