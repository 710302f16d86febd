package io.apricotslip.standins.settings

import io.apricotslip.api.json.RuleFault
import kotlinx.serialization.Serializable

/** Settings of several engines in one process. */
@Serializable
internal data class EngineListSettings(val engines: List<EngineSettings>) : Checked {
    override fun faults(path: String): List<RuleFault> = hostedFaults("engines", engines)
}
