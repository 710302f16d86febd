package io.apricotslip.safety

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.VmId

/** Evidence of all engines about streams of VMs that are on no list any more, or that have restarted. */
internal class ForeignUse(private val membership: Membership) {
    private val reports = HashMap<BackendServerId, EngineReports>()
    private val incarnations = HashMap<VmId, Incarnation>()
    private var peers = 0L

    /** Evidence gathered under another epoch is void. */
    val epoch: EvidenceEpoch get() = EvidenceEpoch(membership.tenureEpoch, peers)

    operator fun get(server: BackendServerId): EngineReports = reports.getOrPut(server) { EngineReports() }

    /** A peer with a new life may have left streams of its former one behind: older evidence is void. */
    fun learn(peer: VmId, life: Incarnation) {
        if (incarnations.put(peer, life) != life) peers++
    }
}
