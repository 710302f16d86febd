package io.apricotslip.safety

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.VmId

/** Reports of all engines, as evidence of streams left by VMs that are no longer on any list or have restarted. */
internal class ForeignUse(private val membership: Membership) {
    private val reports = HashMap<BackendServerId, EngineReports>()
    private val incarnations = HashMap<VmId, Incarnation>()
    private var incarnationChanges = 0L

    /** The current epoch; evidence obtained in another epoch is invalid. */
    val epoch: EvidenceEpoch get() = EvidenceEpoch(membership.tenureEpoch, incarnationChanges)

    operator fun get(server: BackendServerId): EngineReports = reports.getOrPut(server) { EngineReports() }

    /**
     * Records the incarnation of [peer]. A restarted peer may have left streams of its previous incarnation running, so
     * a change invalidates older evidence.
     */
    fun recordIncarnation(peer: VmId, incarnation: Incarnation) {
        if (incarnations.put(peer, incarnation) != incarnation) incarnationChanges++
    }
}
