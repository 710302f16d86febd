package io.apricotslip.e2e.fault

/**
 * Describes one test run under fault injection.
 *
 * @property seed seed of the workload.
 * @property faults the faults to inject; they begin and end together.
 * @property minAnsweredShare minimum share of the requests at live VMs that must be answered; null if none is
 *   guaranteed.
 */
internal data class FaultPlan(
    val name: String,
    val seed: Long,
    val faults: List<Fault>,
    val minAnsweredShare: Double? = null,
) {
    /** VMs that the faults separate from the majority. */
    val affectedVms: Set<String> get() = faults.flatMap { it.vms }.toSet()

    override fun toString(): String = "$name, seed $seed"
}
