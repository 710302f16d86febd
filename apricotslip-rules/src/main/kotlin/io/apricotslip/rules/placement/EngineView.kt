package io.apricotslip.rules.placement

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.peer.EngineStatus

/** An entry VM's view of one engine: the latest status and the requests sent since then. */
internal class EngineView(private val options: PlacementOptions) {
    private class SentRequest(val adapter: AdapterVersion, val sentAt: Long)

    private var adapters: Set<AdapterVersion> = emptySet()
    private val unreported = ArrayDeque<SentRequest>()
    var status: EngineStatus? = null
        private set

    fun updateStatus(status: EngineStatus, now: Long) {
        this.status = status
        adapters = status.adapters.mapTo(HashSet()) { it.adapter }
        unreported.removeAll { now - it.sentAt > options.statusAgeMillis * NANOS_PER_MILLI }
    }

    fun recordSent(adapter: AdapterVersion, now: Long) {
        unreported += SentRequest(adapter, now)
        while (now - unreported.first().sentAt > options.sentRequestTtlMillis * NANOS_PER_MILLI) {
            unreported.removeFirst()
        }
    }

    /**
     * Number of queued and running requests. Without [includeDeferrable], the queued deferrable requests of the status
     * are not counted, because the others start before them.
     */
    fun requestCount(includeDeferrable: Boolean, now: Long): Int {
        val reported = status?.let { it.running + it.waiting - if (includeDeferrable) 0 else it.waitingDeferrable } ?: 0
        return reported + unreported.count { isFresh(it, now) }
    }

    /** Whether the engine reported [adapter] or a request for it was sent there. */
    fun hasAdapter(adapter: AdapterVersion, now: Long): Boolean =
        adapter in adapters || unreported.any { it.adapter == adapter && isFresh(it, now) }

    private fun isFresh(sent: SentRequest, now: Long): Boolean =
        now - sent.sentAt <= options.sentRequestTtlMillis * NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
