package io.apricotslip.rules.placement

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.peer.EngineStatus

/** What an entry VM knows of one engine: the last status and what it sent since. */
internal class EngineView(private val options: PlacementOptions) {
    private class Sent(val adapter: AdapterVersion, val at: Long)

    private var adapters: Set<AdapterVersion> = emptySet()
    private val unseen = ArrayDeque<Sent>()
    var status: EngineStatus? = null
        private set

    fun learn(status: EngineStatus, now: Long) {
        this.status = status
        adapters = status.adapters.mapTo(HashSet()) { it.adapter }
        unseen.removeAll { now - it.at > options.statusAgeMillis * NANOS_PER_MILLI }
    }

    fun sent(adapter: AdapterVersion, now: Long) {
        unseen += Sent(adapter, now)
        while (now - unseen.first().at > options.sentMillis * NANOS_PER_MILLI) unseen.removeFirst()
    }

    /** Requests that run or wait there; without [deferrable] only those that start before deferrable ones. */
    fun requests(deferrable: Boolean, now: Long): Int {
        val told = status?.let { it.running + it.waiting - if (deferrable) 0 else it.waitingDeferrable } ?: 0
        return told + unseen.count { isFresh(it, now) }
    }

    /** Whether [adapter] is there or was sent there. */
    fun holds(adapter: AdapterVersion, now: Long): Boolean =
        adapter in adapters || unseen.any { it.adapter == adapter && isFresh(it, now) }

    private fun isFresh(sent: Sent, now: Long): Boolean = now - sent.at <= options.sentMillis * NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
