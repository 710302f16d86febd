package io.apricotslip.platform

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.manifest.IpAddress
import kotlinx.serialization.json.Json

/** Parses the published list of VMs and rejects an invalid one. */
internal object VmListParser {
    private const val MAX_PORT = 65_535
    private val json = Json { ignoreUnknownKeys = true }

    /** Parses [text]; throws [IllegalArgumentException] when it is not a valid list. Unknown fields are ignored. */
    fun parse(text: String): VmList {
        val list = json.decodeFromString(VmList.serializer(), text)
        val ids = list.vms.map { it.id }
        require(ids.size == ids.toSet().size) { "list names a VM twice" }
        list.vms.forEach { vm -> faultOf(vm)?.let { throw IllegalArgumentException("VM ${vm.id}: $it") } }
        return list
    }

    private fun faultOf(vm: Vm): String? = when {
        vm.id.value.isEmpty() -> "empty name"
        !IpAddress.isValid(vm.address) -> "address is no IP number"
        vm.port !in 1..MAX_PORT -> "port out of range"
        !vm.weight.isFinite() || vm.weight <= 0.0 -> "weight is not above 0"
        else -> null
    }
}
