package io.apricotslip.standins.settings

import io.apricotslip.api.json.RuleFault
import io.apricotslip.standins.platform.DownBehaviour
import kotlinx.serialization.Serializable
import java.io.File

/** A value that the service publishes at startup, read from [file]. */
@Serializable
internal data class InitialValue(val key: String, val file: String, val revision: Long = 1)

/** Settings of the configuration service. */
@Serializable
internal data class ConfigSettings(
    override val id: String = "config",
    override val address: String = "127.0.0.1",
    override val port: Int,
    override val admin: AdminSettings,
    override val historyFile: String? = null,
    val values: List<InitialValue> = emptyList(),
    val callsPerSecond: Int = 2_000,
    val maxValueBytes: Int = 1_048_576,
    val maxWaitMillis: Long = 60_000,
    val whenDown: DownBehaviour = DownBehaviour.REFUSE,
) : StandinSettings {
    override fun faults(path: String): List<RuleFault> = commonFaults(path) + rules(path) {
        atLeast("callsPerSecond", callsPerSecond, 1)
        atLeast("maxValueBytes", maxValueBytes, 1)
        atLeast("maxWaitMillis", maxWaitMillis, 0)
        values.forEachIndexed { i, v ->
            name("values[$i].key", v.key)
            atLeast("values[$i].revision", v.revision, 1)
            val file = File(v.file)
            require("values[$i].file", file.isFile, "'${v.file}' is not a file that can be read")
            require("values[$i].file", file.length() <= maxValueBytes, "is longer than maxValueBytes")
        }
    }
}
