package io.apricotslip.standins.settings

import io.apricotslip.api.json.RuleFault
import kotlinx.serialization.Serializable

/** Settings of several replicas of the booking service in one process. */
@Serializable
internal data class BookingListSettings(val replicas: List<BookingSettings>) : Checked {
    override fun faults(path: String): List<RuleFault> = hostedFaults("replicas", replicas)
}
