package io.apricotslip.safety

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.VmId

/**
 * A consent in effect: this VM starts no request on the adapter until the eviction is closed.
 *
 * @property requestNumber number of the consent request that was granted.
 * @property revision list revision under which it was granted.
 * @property lastSentAt when the consent was last sent, in nanoseconds of the monotonic clock.
 */
internal data class GrantedConsent(val requestNumber: Long, val revision: ListRevision, val lastSentAt: Long)

/** Consents to evictions that this VM granted to other VMs: the second half of rule 4 of docs/DESIGN.md. */
internal class EvictConsents {
    private val granted = HashMap<EngineAdapter, HashMap<VmId, GrantedConsent>>()
    private val lastClosedRequests = HashMap<VmId, Long>()

    /** Whether a consent in effect forbids starting requests on [engineAdapter]. */
    fun isBlocked(engineAdapter: EngineAdapter): Boolean = engineAdapter in granted

    /** Whether [requester] has already closed the request [requestNumber] or a later one. */
    fun isOutdated(requester: VmId, requestNumber: Long): Boolean =
        requestNumber <= (lastClosedRequests[requester] ?: 0)

    /** Records [consent] unless [requester] holds one for a later request. */
    fun grant(engineAdapter: EngineAdapter, requester: VmId, consent: GrantedConsent) {
        val requesters = granted.getOrPut(engineAdapter) { HashMap() }
        val former = requesters[requester]
        if (former == null || former.requestNumber <= consent.requestNumber) requesters[requester] = consent
    }

    /** Releases the consent granted to [requester] unless it has sent a later request than [requestNumber]. */
    fun release(engineAdapter: EngineAdapter, requester: VmId, requestNumber: Long) {
        lastClosedRequests[requester] = maxOf(lastClosedRequests[requester] ?: 0, requestNumber)
        val requesters = granted[engineAdapter] ?: return
        val consent = requesters[requester] ?: return
        if (consent.requestNumber <= requestNumber) requesters.remove(requester)
        if (requesters.isEmpty()) granted.remove(engineAdapter)
    }

    /** Releases the consents granted under a list older than [tenured] to VMs that [tenured] no longer holds. */
    fun releaseDeparted(tenured: VmList) {
        granted.values.forEach { requesters ->
            requesters.entries.removeIf { (requester, consent) ->
                consent.revision < tenured.revision && tenured[requester] == null
            }
        }
        granted.values.removeIf { it.isEmpty() }
        lastClosedRequests.keys.removeIf {
            tenured[it] == null && granted.values.none { requesters -> it in requesters }
        }
    }

    /** Returns the consents last sent at or before [sentBefore] and records that they are sent again at [now]. */
    fun takeDue(sentBefore: Long, now: Long): List<Triple<EngineAdapter, VmId, GrantedConsent>> =
        granted.flatMap { (engineAdapter, requesters) ->
            requesters.entries.filter { it.value.lastSentAt <= sentBefore }.map { entry ->
                val resent = entry.value.copy(lastSentAt = now)
                entry.setValue(resent)
                Triple(engineAdapter, entry.key, resent)
            }
        }
}
