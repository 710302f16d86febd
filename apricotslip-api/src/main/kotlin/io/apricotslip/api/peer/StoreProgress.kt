package io.apricotslip.api.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * How far nodes have read what the platform's store publishes.
 *
 * @property era the era that the store states.
 * @property revision revision up to which it was read, within the era.
 * @property stateVersion version of the desired state in force; 0 when there is none.
 */
@Serializable
public data class StoreProgress(
    @SerialName("e") public val era: Long,
    @SerialName("r") public val revision: Long,
    @SerialName("v") public val stateVersion: Long,
) {
    /** The newest of what this and [other] say, each part by itself. */
    public fun merge(other: StoreProgress): StoreProgress {
        val newest = maxOf(this, other, compareBy(StoreProgress::era, StoreProgress::revision))
        return newest.copy(stateVersion = maxOf(stateVersion, other.stateVersion))
    }
}
