package io.apricotslip.api.peer

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.RequestTrait
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What a node knows about crashes of backend servers and the requests that may have caused them. Lists are bounded, and
 * merging the same evidence twice changes nothing.
 *
 * @property crashes crashes that are not explained yet, or that were explained a moment ago.
 * @property answers the last time at which traits of these crashes were in a request that was answered.
 * @property quarantines traits that were found to crash servers.
 */
@Serializable
public data class CrashEvidence(
    @SerialName("c") public val crashes: List<Crash> = emptyList(),
    @SerialName("a") public val answers: List<AnsweredTrait> = emptyList(),
    @SerialName("q") public val quarantines: List<QuarantinedTrait> = emptyList(),
) {
    /**
     * The crash of one incarnation of a backend server.
     *
     * @property startedAtMillis Unix time of the start of that incarnation, in milliseconds.
     * @property ageMillis time since the crash.
     * @property traits traits of the requests without an answer at the server, with their positions in the request.
     */
    @Serializable
    public data class Crash(
        @SerialName("s") public val server: BackendServerId,
        @SerialName("b") public val startedAtMillis: Long,
        @SerialName("g") public val ageMillis: Long,
        @SerialName("p") public val traits: Map<RequestTrait, Int>,
    )

    /**
     * A trait of a request that was answered.
     *
     * @property ageMillis time since the answer.
     * @property answer identifies the answer, so that a node does not take it for a later one when it comes back from
     * others.
     */
    @Serializable
    public data class AnsweredTrait(
        @SerialName("p") public val trait: RequestTrait,
        @SerialName("g") public val ageMillis: Long,
        @SerialName("i") public val answer: Int = 0,
    )

    /**
     * A trait that is in quarantine, or was lately.
     *
     * @property count how many times it has been put into quarantine.
     * @property ageMillis time since it was put into quarantine last.
     * @property evidenceAgeMillis time since the first crash that this rests on.
     */
    @Serializable
    public data class QuarantinedTrait(
        @SerialName("p") public val trait: RequestTrait,
        @SerialName("n") public val count: Int,
        @SerialName("g") public val ageMillis: Long,
        @SerialName("e") public val evidenceAgeMillis: Long,
    )
}
