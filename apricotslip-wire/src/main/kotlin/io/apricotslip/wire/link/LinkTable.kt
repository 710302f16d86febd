package io.apricotslip.wire.link

import io.apricotslip.api.id.VmId
import io.apricotslip.wire.PeerEvent
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import org.tinylog.kotlin.Logger
import java.util.concurrent.ConcurrentHashMap

/** The links of a node, at most one per peer; the newest hello of a peer wins. */
internal class LinkTable(private val self: VmId, private val maxUnlisted: Int, private val inbox: Inbox) {
    /** Links of one peer take turns, so that an old one is told as down before the new one is told as up. */
    private class Slot {
        val turn = Mutex()
        var newest: Link? = null
    }

    private val slots = HashMap<VmId, Slot>()
    private val up = ConcurrentHashMap<VmId, Link>()
    private var listed = emptySet<VmId>()

    /** The link to [peer] that is up, or null. */
    operator fun get(peer: VmId): Link? = up[peer]

    /** Peers with a link that is up. */
    fun connectedPeers(): Set<VmId> = up.keys.toSet()

    /** Takes [peers] as those that are listed; closes the links to those that were listed before and are no more. */
    @Synchronized
    fun list(peers: Set<VmId>) {
        val dropped = listed - peers
        listed = peers
        dropped.forEach { close(it, "no longer listed") }
    }

    /** Closes the link to [peer], if there is one. */
    @Synchronized
    fun close(peer: VmId, reason: String) {
        slots[peer]?.newest?.close(reason)
    }

    /** Serves [link] until it closes, after the older link of the same peer has ended. */
    suspend fun serve(link: Link) {
        val slot = admit(link) ?: return
        try {
            slot.turn.withLock { serveAlone(link) }
        } finally {
            retire(slot, link)
        }
    }

    private suspend fun serveAlone(link: Link) {
        if (link.isClosed()) return
        up[link.peer] = link
        try {
            inbox.deliver(PeerEvent.Up(link.peer, link.hello.incarnation))
            Logger.info { "event=link_up step=link peer=${link.peer} build=${link.hello.build}" }
            link.serve(inbox)
        } finally {
            up.remove(link.peer, link)
            val reason = link.close("stopped")
            Logger.info { "event=link_down step=link peer=${link.peer} reason=\"$reason\"" }
            withContext(NonCancellable) { inbox.deliver(PeerEvent.Down(link.peer, reason)) }
        }
    }

    @Synchronized
    private fun admit(link: Link): Slot? {
        val refusal = refusal(link)
        if (refusal != null) {
            Logger.warn { "event=link_refused step=hello peer=${link.peer} reason=\"$refusal\"" }
            link.close(refusal)
            return null
        }
        val slot = slots.getOrPut(link.peer) { Slot() }
        slot.newest?.close("replaced by a newer link")
        slot.newest = link
        return slot
    }

    private fun refusal(link: Link): String? {
        if (link.peer == self) return "own name"
        val newest = slots[link.peer]?.newest
        if (newest != null) return "older link".takeIf { link.hello.isOlderThan(newest.hello) }
        if (link.peer in listed) return null
        val unlisted = slots.keys.count { it !in listed }
        return "too many unlisted peers".takeIf { unlisted >= maxUnlisted }
    }

    @Synchronized
    private fun retire(slot: Slot, link: Link) {
        if (slot.newest === link) slots.remove(link.peer)
    }
}
