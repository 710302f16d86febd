package io.apricotslip.safety

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmState
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.VmId
import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Weighted rendezvous hashing over live VMs. A pure function of its arguments, equal in every process, so that
 * VMs with the same list agree without talking.
 */
public object OwnershipRanking {
    private const val UNIT_BITS = 53
    private const val UNIT = 1.0 / (1L shl UNIT_BITS)
    private const val SEPARATOR = "\u0000"

    /** Live VMs of [vms] for [server], the owner first and the standby second. */
    public fun rank(server: BackendServerId, vms: List<Vm>): List<VmId> = rank("server", server.value, vms)

    /** The VM of [vms] that runs calls with the idempotency key [key], or null when none is live. */
    public fun home(key: String, vms: List<Vm>): VmId? = candidates(vms).maxWithOrNull(order("key", key))?.id

    private fun rank(kind: String, name: String, vms: List<Vm>): List<VmId> = candidates(vms)
        .map { it to score(kind, name, it) }
        .sortedWith(compareByDescending<Pair<Vm, Double>> { it.second }.thenByDescending { it.first.id })
        .map { it.first.id }

    private fun candidates(vms: List<Vm>): List<Vm> = vms.filter { it.state == VmState.LIVE && it.weight > 0 }

    private fun order(kind: String, name: String): Comparator<Vm> =
        compareBy<Vm> { score(kind, name, it) }.thenBy { it.id }

    /** `-weight / ln(u)` with u uniform in (0, 1): each VM ranks first in proportion to its weight. */
    private fun score(kind: String, name: String, vm: Vm): Double =
        -vm.weight / StrictMath.log(unit(kind + SEPARATOR + name + SEPARATOR + vm.id.value))

    private fun unit(text: String): Double {
        val digest = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
        val bits = ByteBuffer.wrap(digest).long ushr (Long.SIZE_BITS - UNIT_BITS)
        return (bits + 0.5) * UNIT
    }
}
