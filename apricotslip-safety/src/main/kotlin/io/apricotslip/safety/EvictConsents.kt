package io.apricotslip.safety

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.VmId

/** A consent that stands: nothing is started on the adapter for the evict numbered [order]. */
internal data class StandingConsent(val order: Long, val revision: ListRevision, val toldAt: Long)

/** Consents that this VM gave to others: the second half of rule 4 of docs/DESIGN.md. */
internal class EvictConsents {
    private val standing = HashMap<AdapterSlot, HashMap<VmId, StandingConsent>>()
    private val lastDone = HashMap<VmId, Long>()

    fun blocked(slot: AdapterSlot): Boolean = slot in standing

    /** Whether the ask numbered [order] of [asker] is older than an evict that it has ended. */
    fun outdated(asker: VmId, order: Long): Boolean = order <= (lastDone[asker] ?: 0)

    fun give(slot: AdapterSlot, asker: VmId, consent: StandingConsent) {
        val askers = standing.getOrPut(slot) { HashMap() }
        val former = askers[asker]
        if (former == null || former.order <= consent.order) askers[asker] = consent
    }

    /** Ends the consent to [asker] unless it has asked again since [order]. */
    fun done(slot: AdapterSlot, asker: VmId, order: Long) {
        lastDone[asker] = maxOf(lastDone[asker] ?: 0, order)
        val askers = standing[slot] ?: return
        val consent = askers[asker] ?: return
        if (consent.order <= order) askers.remove(asker)
        if (askers.isEmpty()) standing.remove(slot)
    }

    /** Ends the consents to VMs that are not on [tenured], given under an older list. */
    fun tenured(tenured: VmList) {
        standing.values.forEach { askers ->
            askers.entries.removeIf { (asker, consent) ->
                consent.revision < tenured.revision && tenured[asker] == null
            }
        }
        standing.values.removeIf { it.isEmpty() }
        lastDone.keys.removeIf { tenured[it] == null && standing.values.none { askers -> it in askers } }
    }

    /** Consents not told again since [before], now told at [now]. */
    fun due(before: Long, now: Long): List<Triple<AdapterSlot, VmId, StandingConsent>> =
        standing.flatMap { (slot, askers) ->
            askers.entries.filter { it.value.toldAt <= before }.map { entry ->
                val told = entry.value.copy(toldAt = now)
                entry.setValue(told)
                Triple(slot, entry.key, told)
            }
        }
}
