package io.apricotslip.wire.link

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.VmId
import io.apricotslip.wire.LinkOptions
import io.apricotslip.wire.PeerEvent
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext
import org.tinylog.kotlin.Logger
import java.util.concurrent.ConcurrentHashMap

/** The links of a node, at most one per peer. */
internal class LinkTable(private val self: VmId, private val options: LinkOptions, private val inbox: Inbox) {
    private class Slot {
        val turn = Mutex()
        var newest: Link? = null
    }

    private val slots = HashMap<VmId, Slot>()
    private val up = ConcurrentHashMap<VmId, Link>()

    @Volatile
    private var list = VmList.Empty

    /** The link to [peer] that is up, or null. */
    operator fun get(peer: VmId): Link? = up[peer]

    /** Peers with a link that is up. */
    fun connected(): Set<VmId> = up.keys.toSet()

    /** Takes [list] as the one that says which peers are known; closes the links to those it drops. */
    fun follow(list: VmList) {
        val dropped = this.list.vms.map { it.id } - list.vms.map { it.id }.toSet()
        this.list = list
        dropped.forEach { up[it]?.close("no longer listed") }
    }

    /** Serves [link] until it closes, after the older link of the same peer has ended. */
    suspend fun serve(link: Link) {
        val slot = admit(link) ?: return
        slot.turn.withLock {
            if (slot.newest === link) serveAlone(link)
        }
        retire(link.peer, slot, link)
    }

    private suspend fun serveAlone(link: Link) {
        up[link.peer] = link
        var reason = "stopped"
        try {
            inbox.deliver(PeerEvent.Up(link.peer, link.hello.incarnation))
            Logger.info { "event=link_up step=link peer=${link.peer} build=${link.hello.build}" }
            reason = link.serve(inbox)
        } finally {
            up.remove(link.peer, link)
            link.close(reason)
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
        if (list[link.peer] != null) return null
        val unlisted = slots.keys.count { list[it] == null }
        return "too many unlisted peers".takeIf { unlisted >= options.maxUnlistedLinks }
    }

    @Synchronized
    private fun retire(peer: VmId, slot: Slot, link: Link) {
        if (slot.newest === link) slots.remove(peer)
    }
}
