package io.apricotslip.platform

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.manifest.IpAddress
import kotlinx.serialization.json.Json

/** Reads the published list of VMs and refuses one that cannot be meant. */
internal object VmListText {
    private const val MAX_PORT = 65_535
    private val json = Json { ignoreUnknownKeys = true }

    /** Parses [text]; throws [IllegalArgumentException] when it is not an acceptable list. */
    fun parse(text: String): VmList {
        val list = json.decodeFromString(VmList.serializer(), text)
        val ids = list.vms.map { it.id }
        require(ids.size == ids.toSet().size) { "list names a VM twice" }
        list.vms.forEach { vm -> fault(vm)?.let { throw IllegalArgumentException("VM ${vm.id}: $it") } }
        return list
    }

    private fun fault(vm: Vm): String? = when {
        vm.id.value.isEmpty() -> "empty name"
        !IpAddress.isValid(vm.address) -> "address is no IP number"
        vm.port !in 1..MAX_PORT -> "port out of range"
        !vm.weight.isFinite() || vm.weight <= 0.0 -> "weight is not above 0"
        else -> null
    }
}
