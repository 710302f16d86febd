package io.apricotslip.api.fleet

import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of a VM in the published list. */
@Serializable
public enum class VmState {
    /** Accepts new work. */
    @SerialName("live")
    LIVE,

    /** Finishes its running work and accepts no new work. */
    @SerialName("leaving")
    LEAVING,
}

/**
 * One entry VM of the published list.
 *
 * @property address IP address of the VM.
 * @property port TCP port of the protocol between nodes.
 * @property weight relative capacity of the VM; 1.0 is the standard size.
 */
@Serializable
public data class Vm(
    public val id: VmId,
    public val zone: ZoneId,
    public val address: String,
    public val port: Int,
    public val weight: Double = 1.0,
    public val state: VmState = VmState.LIVE,
)

/** The published list of the system's VMs. It may be out of date; a higher [revision] is newer. */
@Serializable
public data class VmList(public val revision: ListRevision, public val vms: List<Vm>) {
    /** The VM named [id], or null when this list does not contain it. */
    public operator fun get(id: VmId): Vm? = vms.firstOrNull { it.id == id }

    /** VMs that accept new work. */
    public fun live(): List<Vm> = vms.filter { it.state == VmState.LIVE }

    public companion object {
        /** The list in use before the first one is read. */
        public val Empty: VmList = VmList(ListRevision(0), emptyList())
    }
}
