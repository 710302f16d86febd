package io.apricotslip.e2e.fault

/**
 * One run under faults.
 *
 * @property faults begin and end together.
 * @property share least share of the requests at live VMs that must be answered; null where no promise names one.
 */
internal data class FaultPlan(val name: String, val seed: Long, val faults: List<Fault>, val share: Double? = null) {
    val affected: Set<String> get() = faults.flatMap { it.vms }.toSet()

    override fun toString(): String = "$name, seed $seed"
}
