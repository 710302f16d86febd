package io.apricotslip.standins.settings

import kotlinx.serialization.Serializable

/** Settings of several replicas of the booking service in one process. */
@Serializable
internal data class BookingListSettings(val replicas: List<BookingSettings>) : Checked {
    override fun faults(path: String): List<SettingsFault> = hostedFaults("replicas", replicas)
}
