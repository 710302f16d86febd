package io.apricotslip.safety

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmState
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.VmId
import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Weighted rendezvous hashing over live VMs. A pure function of its arguments with the same result in every process, so
 * VMs with the same list agree without communicating.
 */
public object OwnershipRanking {
    private const val UNIFORM_BITS = 53
    private const val UNIFORM_STEP = 1.0 / (1L shl UNIFORM_BITS)
    private const val SEPARATOR = "\u0000"

    /** The live VMs of [vms] ranked for [server]: the owner first, the standby second. */
    public fun rank(server: BackendServerId, vms: List<Vm>): List<VmId> = rank("server", server.value, vms)

    /** The home of the idempotency key [key]: the VM of [vms] that runs its calls, or null if none is live. */
    public fun home(key: String, vms: List<Vm>): VmId? = liveVms(vms).maxWithOrNull(byScore("key", key))?.id

    private fun rank(kind: String, name: String, vms: List<Vm>): List<VmId> = liveVms(vms)
        .map { it to score(kind, name, it) }
        .sortedWith(compareByDescending<Pair<Vm, Double>> { it.second }.thenByDescending { it.first.id })
        .map { it.first.id }

    private fun liveVms(vms: List<Vm>): List<Vm> = vms.filter { it.state == VmState.LIVE && it.weight > 0 }

    private fun byScore(kind: String, name: String): Comparator<Vm> =
        compareBy<Vm> { score(kind, name, it) }.thenBy { it.id }

    /** `-weight / ln(u)` with u uniform in (0, 1): each VM ranks first in proportion to its weight. */
    private fun score(kind: String, name: String, vm: Vm): Double =
        -vm.weight / StrictMath.log(uniform(kind + SEPARATOR + name + SEPARATOR + vm.id.value))

    private fun uniform(text: String): Double {
        val digest = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
        val bits = ByteBuffer.wrap(digest).long ushr (Long.SIZE_BITS - UNIFORM_BITS)
        return (bits + 0.5) * UNIFORM_STEP
    }
}
