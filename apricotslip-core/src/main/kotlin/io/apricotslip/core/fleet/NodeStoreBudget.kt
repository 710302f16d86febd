package io.apricotslip.core.fleet

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.VmId
import io.apricotslip.api.manifest.StoreEntry
import io.apricotslip.core.link.Links
import io.apricotslip.core.loop.NodeLoop
import io.apricotslip.rules.store.LoadUrgency
import io.apricotslip.rules.store.LoanRequest
import io.apricotslip.rules.store.StoreBudget
import io.apricotslip.rules.store.StoreDemand
import io.apricotslip.rules.store.StoreShare
import io.apricotslip.wire.Message

/**
 * This node's share of the weight store's load rate, in proportion to its weight on the VM list, and the loans of loads
 * between nodes. Confined to the node loop.
 */
internal class NodeStoreBudget(private val self: VmId, private val loop: NodeLoop, private val links: Links) :
    StoreBudget {
    private var storeEntry: StoreEntry? = null
    private var shareRatio = 0.0
    private var share: StoreShare? = null
    private var peers: List<VmId> = emptyList()

    /** Applies the store limits of a new manifest. */
    fun updateStore(store: StoreEntry) {
        if (store == storeEntry) return
        storeEntry = store
        share =
            StoreShare(
                loadsPerSecond = store.loadsPerSecond,
                fullSpeedInFlight = store.fullSpeedInFlight,
                maxInFlight = store.maxInFlight,
                share = shareRatio,
            )
    }

    /** Recomputes this node's share and the peers from a new VM list. */
    fun updateList(list: VmList) {
        val live = list.live()
        val own = live.firstOrNull { it.id == self }?.weight ?: 0.0
        shareRatio = if (own > 0) own / live.sumOf { it.weight } else 0.0
        peers = live.map { it.id }.filter { it != self }
        share?.resize(shareRatio, loop.now())
    }

    /** Requests a loan from the peers when this node needs more loads than its share allows. Called periodically. */
    fun tick() {
        val ask = share?.nextLoanRequest(loop.now()) ?: return
        val message = Message.TokenAsk(ask.wanted, ask.urgency.ordinal, ask.waitedMillis)
        peers.forEach { links.send(it, message) }
    }

    /** Handles a message about loans; returns whether the message was one. */
    fun receive(from: VmId, message: Message): Boolean {
        when (message) {
            is Message.TokenAsk -> lend(from, message)
            is Message.TokenLoan -> share?.receiveLoan(message.tokens, loop.now())
            else -> return false
        }
        return true
    }

    override fun tryAcquire(now: Long): Boolean = share?.tryAcquire(now) ?: false

    override fun tryAcquire(now: Long, demand: StoreDemand): Boolean = share?.tryAcquire(now, demand) ?: false

    override fun recordDemand(now: Long, demand: StoreDemand) {
        share?.recordDemand(now, demand)
    }

    /** Number of loads that may be started now. */
    fun available(): Double = share?.available(loop.now()) ?: 0.0

    override fun onLoadEnded(now: Long) {
        share?.onLoadEnded(now)
    }

    override fun nextAvailableAt(now: Long): Long = share?.nextAvailableAt(now) ?: Long.MAX_VALUE

    private fun lend(from: VmId, ask: Message.TokenAsk) {
        val urgency = LoadUrgency.entries.getOrNull(ask.urgency) ?: return
        val lent = share?.lend(LoanRequest(ask.wanted, urgency, ask.waitedMillis), loop.now()) ?: return
        if (lent > 0.0) links.send(from, Message.TokenLoan(lent))
    }
}
