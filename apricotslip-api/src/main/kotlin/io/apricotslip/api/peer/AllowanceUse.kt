package io.apricotslip.api.peer

import io.apricotslip.api.id.WorkspaceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What a workspace with an allowance sent within the last second, in the units of its allowance.
 *
 * @property asked cost of its requests, refused ones included, less what was refunded.
 * @property granted cost of those that were admitted, less what was refunded.
 */
@Serializable
public data class AllowanceUse(
    @SerialName("w") public val workspace: WorkspaceId,
    @SerialName("q") public val asked: Long,
    @SerialName("g") public val granted: Long,
)
