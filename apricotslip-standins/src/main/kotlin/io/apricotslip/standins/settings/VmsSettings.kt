package io.apricotslip.standins.settings

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.json.RuleFault
import io.apricotslip.standins.platform.DownBehaviour
import kotlinx.serialization.Serializable

/** Settings of the list of VMs. [lagMillis] is the time until a posted list becomes visible to readers. */
@Serializable
internal data class VmsSettings(
    override val id: String = "vms",
    override val address: String = "127.0.0.1",
    override val port: Int,
    override val admin: AdminSettings,
    override val historyFile: String? = null,
    val vms: List<Vm> = emptyList(),
    val revision: Long = 1,
    val lagMillis: Long = 0,
    val maxWaitMillis: Long = 60_000,
    val whenDown: DownBehaviour = DownBehaviour.REFUSE,
) : StandinSettings {
    override fun faults(path: String): List<RuleFault> = commonFaults(path) + rules(path) {
        atLeast("revision", revision, 1)
        atLeast("lagMillis", lagMillis, 0)
        atLeast("maxWaitMillis", maxWaitMillis, 0)
        val ids = vms.map { it.id }
        vms.forEachIndexed { i, vm ->
            name("vms[$i].id", vm.id.value)
            require("vms[$i].id", ids.indexOf(vm.id) == i, "'${vm.id}' is listed twice")
            address("vms[$i].address", vm.address)
            port("vms[$i].port", vm.port)
            positive("vms[$i].weight", vm.weight)
        }
    }
}
