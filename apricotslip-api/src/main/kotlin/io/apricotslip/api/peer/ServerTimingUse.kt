package io.apricotslip.api.peer

import io.apricotslip.api.id.BackendServerId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What nodes measured of one incarnation of a backend server within the last seconds, as sums.
 *
 * @property startedAtMillis Unix time of the start of that incarnation, in milliseconds.
 * @property firstEvents number of first events, at servers other than engines of responses.
 * @property tokens prompt tokens that were to be processed before these events.
 * @property firstMillis total time until these events.
 * @property gaps number of gaps between events.
 * @property gapMillis total length of these gaps.
 * @property gapRunning requests that ran at the server meanwhile, summed over the gaps.
 * @property responses responses of any kind, failures and reports of overload included.
 * @property failures responses that failed or broke off, and failed connections.
 * @property overloads responses that report the server as overloaded.
 */
@Serializable
public data class ServerTimingUse(
    @SerialName("s") public val server: BackendServerId,
    @SerialName("b") public val startedAtMillis: Long,
    @SerialName("n") public val firstEvents: Int = 0,
    @SerialName("t") public val tokens: Long = 0,
    @SerialName("m") public val firstMillis: Long = 0,
    @SerialName("g") public val gaps: Int = 0,
    @SerialName("l") public val gapMillis: Long = 0,
    @SerialName("r") public val gapRunning: Long = 0,
    @SerialName("c") public val responses: Int = 0,
    @SerialName("f") public val failures: Int = 0,
    @SerialName("o") public val overloads: Int = 0,
)
