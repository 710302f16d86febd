package io.apricotslip.core.fleet

import io.apricotslip.api.id.VmId
import io.apricotslip.core.loop.NodeLoop
import io.apricotslip.core.manifest.ManifestTracker
import io.apricotslip.safety.Membership

/**
 * Decides whether this node accepts callers' requests. A newly started node first waits until a majority of the listed
 * VMs have reported their manifest revisions and it has caught up with them, so that a stale answer of the platform
 * does not take it back to an older manifest. Confined to the node loop.
 */
internal class Readiness(
    private val self: VmId,
    private val loop: NodeLoop,
    private val membership: Membership,
    private val manifests: ManifestTracker,
) {
    private var caughtUp = false

    /** Set once an engine owner has reported a status, so that a new node can serve before it has roles of its own. */
    var ownerStatusReceived: Boolean = false

    /** Set when the node shuts down. */
    var stopping: Boolean = false

    /** Lists the reasons why the node is not ready; empty when it is ready. */
    fun reasons(): List<String> = buildList {
        if (stopping) add("stopping")
        if (manifests.current == null) add("no valid manifest yet")
        if (membership.list.vms.none { it.id == self }) add("not on the list of VMs")
        if (!hasCaughtUp()) add("a majority of the listed VMs has not told its manifest yet")
        if (!membership.leaseHeld(loop.now())) add("no majority of the listed VMs answers")
        if (membership.tenured == null && !ownerStatusReceived) add("no VM owns the engines yet")
    }

    private fun hasCaughtUp(): Boolean {
        if (!caughtUp) caughtUp = caughtUpWithMajority()
        return caughtUp
    }

    private fun caughtUpWithMajority(): Boolean {
        val others = membership.list.vms.map { it.id }.filter { it != self }
        val reported = others.mapNotNull(membership::peerManifestRevision)
        val majority = 2 * (reported.size + 1) > others.size + 1
        return majority && reported.all { it <= manifests.revision }
    }
}
