package io.apricotslip.serving.stream

import io.apricotslip.api.id.VmId

/** The nodes with which a [StreamDirectory] shares what it knows. */
public interface StreamPeers {
    /** Nodes that keep what this node begins. */
    public fun keepers(now: Long): Set<VmId>

    /** The hub that asks the others for this node; null if this node is a hub itself. */
    public fun home(now: Long): VmId?

    /** Hubs that this node can ask itself. */
    public fun hubs(now: Long): Set<VmId>

    /** Whether messages to [vm] arrive, as far as this node knows. */
    public fun reaches(vm: VmId): Boolean

    /** Whether the fleet consists of this node. */
    public fun alone(now: Long): Boolean

    /** Time for which streams are gathered before they are passed on: the larger the fleet, the longer. */
    public fun batchMillis(): Long
}
