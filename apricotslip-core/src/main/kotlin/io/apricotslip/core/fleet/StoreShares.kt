package io.apricotslip.core.fleet

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.VmId
import io.apricotslip.api.manifest.StoreEntry
import io.apricotslip.core.link.Links
import io.apricotslip.core.loop.NodeLoop
import io.apricotslip.rules.store.LoadUrgency
import io.apricotslip.rules.store.StoreBudget
import io.apricotslip.rules.store.StoreShare
import io.apricotslip.wire.Message

/**
 * This node's part of the weight store's rate, sized by its weight on the list, and loans between nodes. Used on the
 * loop.
 */
internal class StoreShares(private val self: VmId, private val loop: NodeLoop, private val links: Links) :
    StoreBudget {
    private var entry: StoreEntry? = null
    private var part = 0.0
    private var share: StoreShare? = null
    private var peers: List<VmId> = emptyList()
    private var turn = 0

    /** Follows the manifest's statement of the store. */
    fun follow(store: StoreEntry) {
        if (store == entry) return
        entry = store
        share =
            StoreShare(
                loadsPerSecond = store.loadsPerSecond,
                fullSpeedInFlight = store.fullSpeedInFlight,
                maxInFlight = store.maxInFlight,
                share = part,
            )
    }

    /** Follows the list of VMs. */
    fun follow(list: VmList) {
        val live = list.live()
        val own = live.firstOrNull { it.id == self }?.weight ?: 0.0
        part = if (own > 0) own / live.sumOf { it.weight } else 0.0
        peers = live.map { it.id }.filter { it != self }
        share?.resize(part, loop.now())
    }

    /** Asks one peer after the other for loads that this node lacks. */
    fun tick() {
        val wanted = share?.wanted(loop.now()) ?: return
        if (wanted <= 0.0 || peers.isEmpty()) return
        val urgency = share?.urgency(loop.now()) ?: return
        links.send(peers[turn++ % peers.size], Message.TokenAsk(wanted, urgency.ordinal))
    }

    /** Handles a message about loans; returns whether it was one. */
    fun receive(from: VmId, message: Message): Boolean {
        when (message) {
            is Message.TokenAsk -> lend(from, message)
            is Message.TokenLoan -> share?.borrowed(message.tokens, loop.now())
            else -> return false
        }
        return true
    }

    override fun tryTake(now: Long): Boolean = share?.tryTake(now) ?: false

    override fun tryTake(now: Long, urgency: LoadUrgency): Boolean = share?.tryTake(now, urgency) ?: false

    override fun ended(now: Long) {
        share?.ended(now)
    }

    override fun nextAt(now: Long): Long = share?.nextAt(now) ?: Long.MAX_VALUE

    private fun lend(from: VmId, ask: Message.TokenAsk) {
        val urgency = LoadUrgency.entries.getOrNull(ask.urgency) ?: return
        val lent = share?.lend(ask.wanted, loop.now(), urgency) ?: return
        if (lent > 0.0) links.send(from, Message.TokenLoan(lent))
    }
}
