package io.apricotslip.core.fleet

import io.apricotslip.api.id.VmId
import io.apricotslip.core.loop.NodeLoop
import io.apricotslip.core.manifest.ManifestTracker
import io.apricotslip.safety.Membership

/**
 * Decides whether this node takes callers' requests. A fresh node first learns from a majority of the listed VMs what
 * is in force there, so that a stale platform does not turn it back. Used on the loop.
 */
internal class Readiness(
    private val self: VmId,
    private val loop: NodeLoop,
    private val membership: Membership,
    private val manifests: ManifestTracker,
) {
    private var started = false

    /** Set once an owner of an engine told a status: a fresh node can serve before it has roles of its own. */
    var ownerStatusReceived: Boolean = false

    /** Set when the node stops. */
    var stopping: Boolean = false

    /** Why the node is not ready, a reason each; empty when it is. */
    fun reasons(): List<String> = buildList {
        if (stopping) add("stopping")
        if (manifests.current == null) add("no valid manifest yet")
        if (membership.list.vms.none { it.id == self }) add("not on the list of VMs")
        if (!hasStarted()) add("a majority of the listed VMs has not told its manifest yet")
        if (!membership.leaseHeld(loop.now())) add("no majority of the listed VMs answers")
        if (membership.tenured == null && !ownerStatusReceived) add("no VM owns the engines yet")
    }

    private fun hasStarted(): Boolean {
        if (!started) started = heardMajority()
        return started
    }

    private fun heardMajority(): Boolean {
        val others = membership.list.vms.map { it.id }.filter { it != self }
        val told = others.mapNotNull(membership::peerManifestRevision)
        val majority = 2 * (told.size + 1) > others.size + 1
        return majority && told.all { it <= manifests.revision }
    }
}
