package io.apricotslip.standins.settings

import io.apricotslip.api.json.RuleFault
import kotlinx.serialization.Serializable

/**
 * Settings of the weight store.
 *
 * @property fullSpeedInFlight burst size: loads that start at once after an idle time, before the rate limit applies.
 * @property maxInFlight loads in flight, including waiting ones, up to which a load takes [loadMillis].
 * @property failureRatio share of loads that fail, selected at random with [seed].
 */
@Serializable
internal data class StoreSettings(
    override val id: String = "store",
    override val address: String = "127.0.0.1",
    override val port: Int,
    override val admin: AdminSettings,
    override val historyFile: String? = null,
    val loadsPerSecond: Double,
    val fullSpeedInFlight: Int,
    val maxInFlight: Int,
    val loadMillis: Long = 250,
    val failureRatio: Double = 0.0,
    val seed: Long = 1,
) : StandinSettings {
    override fun faults(path: String): List<RuleFault> = commonFaults(path) + rules(path) {
        positive("loadsPerSecond", loadsPerSecond)
        atLeast("fullSpeedInFlight", fullSpeedInFlight, 1)
        atLeast("maxInFlight", maxInFlight, 1)
        val isOrdered = maxInFlight >= fullSpeedInFlight
        require("maxInFlight", isOrdered, "must be at least fullSpeedInFlight", listOf("fullSpeedInFlight"))
        atLeast("loadMillis", loadMillis, 0)
        require("failureRatio", failureRatio in 0.0..1.0, "must be between 0 and 1")
    }
}
