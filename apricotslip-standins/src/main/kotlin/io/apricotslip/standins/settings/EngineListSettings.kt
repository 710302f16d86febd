package io.apricotslip.standins.settings

import kotlinx.serialization.Serializable

/** Settings of several engines in one process. */
@Serializable
internal data class EngineListSettings(val engines: List<EngineSettings>) : Checked {
    override fun faults(path: String): List<SettingsFault> = hostedFaults("engines", engines)
}
