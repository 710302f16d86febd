package io.apricotslip.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the deployment weighs more. */
@Serializable
public enum class Goal {
    /** Short waits for adapters. */
    @SerialName("load-stalls")
    LOAD_STALLS,

    /** Full batches. */
    @SerialName("batch-efficiency")
    BATCH_EFFICIENCY,
}
