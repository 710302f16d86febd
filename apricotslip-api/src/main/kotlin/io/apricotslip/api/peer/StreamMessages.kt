package io.apricotslip.api.peer

import io.apricotslip.api.id.ServiceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message about streams that callers may take up. */
public sealed interface StreamMessage

/**
 * Asks which software versions have served and where routes have led; a node that has just started has not seen it.
 *
 * @property number number of the question, repeated in the answer.
 */
@Serializable
@SerialName("hq")
public data class HistoryQuestion(@SerialName("n") public val number: Int) :
    FleetMessage(),
    StreamMessage

/**
 * Answers the [HistoryQuestion] with [number].
 *
 * @property watchedMillis time for which the sender has known all backend servers without a gap.
 * @property versions what has begun streams, or could have, within that time.
 * @property stateVersion version of the desired state that the sender has read.
 * @property routes where routes lead by that state.
 */
@Serializable
@SerialName("ha")
public data class HistoryAnswer(
    @SerialName("n") public val number: Int,
    @SerialName("w") public val watchedMillis: Long,
    @SerialName("s") public val versions: List<SeenVersion>,
    @SerialName("v") public val stateVersion: Long,
    @SerialName("r") public val routes: List<SeenRoute>,
) : FleetMessage(),
    StreamMessage

/**
 * A software version of a service, or a server whose version has no name.
 *
 * @property ageMillis time since a server of it was listed.
 */
@Serializable
public data class SeenVersion(
    @SerialName("o") public val origin: StreamOrigin,
    @SerialName("g") public val ageMillis: Long,
)

/**
 * The services to which a route leads.
 *
 * @property ageMillis time for which it has led to them.
 */
@Serializable
public data class SeenRoute(
    @SerialName("n") public val name: String,
    @SerialName("c") public val services: Set<ServiceId>,
    @SerialName("g") public val ageMillis: Long,
)
