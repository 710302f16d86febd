package io.apricotslip.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the scheduler optimizes for. */
@Serializable
public enum class Goal {
    /** Keep the time that requests wait for an adapter load short. */
    @SerialName("load-stalls")
    LOAD_STALLS,

    /** Keep the batches of the engines full. */
    @SerialName("batch-efficiency")
    BATCH_EFFICIENCY,
}
