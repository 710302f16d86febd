package io.apricotslip.api.peer

import io.apricotslip.api.id.BackendServerId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The concurrency limit of one incarnation of a backend server that has just started or recovered, and the responses
 * that count for it since the sender's last report.
 *
 * @property startedAtMillis Unix time of the start of that incarnation, in milliseconds.
 * @property number 0 for the limit after its start, one more for each later recovery.
 * @property limit requests that all nodes may have in flight there; null when the limit has ended.
 * @property onTime responses within the latency objective, about as fast as those of other servers.
 * @property slow responses within the latency objective, but much slower than those of other servers.
 * @property bad late responses, refusals for lack of capacity, and failures.
 */
@Serializable
public data class ServerPaceUse(
    @SerialName("s") public val server: BackendServerId,
    @SerialName("b") public val startedAtMillis: Long,
    @SerialName("n") public val number: Int,
    @SerialName("l") public val limit: Double? = null,
    @SerialName("o") public val onTime: Int = 0,
    @SerialName("w") public val slow: Int = 0,
    @SerialName("x") public val bad: Int = 0,
)
