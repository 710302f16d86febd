package io.apricotslip.standins.settings

import io.apricotslip.api.json.RuleFault
import kotlinx.serialization.Serializable

/**
 * Settings of one replica of the booking service.
 *
 * @property answerMillis time from the execution of a call to its response.
 * @property available reservations available at the start.
 */
@Serializable
internal data class BookingSettings(
    override val id: String,
    override val address: String = "127.0.0.1",
    override val port: Int,
    override val admin: AdminSettings,
    override val historyFile: String? = null,
    val zone: String = "z1",
    val answerMillis: Long = 0,
    val available: Int = 100,
) : StandinSettings {
    override fun faults(path: String): List<RuleFault> = commonFaults(path) + rules(path) {
        name("zone", zone)
        atLeast("answerMillis", answerMillis, 0)
        atLeast("available", available, 0)
    }
}
