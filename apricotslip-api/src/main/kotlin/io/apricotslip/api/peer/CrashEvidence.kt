package io.apricotslip.api.peer

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.PromptPartId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What a node knows about crashes of backend servers and the prompts that may have caused them. Lists are bounded, and
 * merging the same evidence twice changes nothing.
 *
 * @property crashes crashes that are not explained yet, or that were explained a moment ago.
 * @property answers the last time at which parts of these crashes were in a prompt that was answered.
 * @property quarantines parts that were found to crash servers.
 */
@Serializable
public data class CrashEvidence(
    @SerialName("c") public val crashes: List<Crash> = emptyList(),
    @SerialName("a") public val answers: List<AnsweredPart> = emptyList(),
    @SerialName("q") public val quarantines: List<QuarantinedPart> = emptyList(),
) {
    /**
     * The crash of one incarnation of a backend server.
     *
     * @property startedAtMillis Unix time of the start of that incarnation, in milliseconds.
     * @property ageMillis time since the crash.
     * @property parts parts of the prompts without an answer at the server, with their positions in the prompt.
     */
    @Serializable
    public data class Crash(
        @SerialName("s") public val server: BackendServerId,
        @SerialName("b") public val startedAtMillis: Long,
        @SerialName("g") public val ageMillis: Long,
        @SerialName("p") public val parts: Map<PromptPartId, Int>,
    )

    /**
     * A part of a prompt that was answered.
     *
     * @property ageMillis time since the answer.
     * @property answer identifies the answer, so that a node does not take it for a later one when it comes back from
     * others.
     */
    @Serializable
    public data class AnsweredPart(
        @SerialName("p") public val part: PromptPartId,
        @SerialName("g") public val ageMillis: Long,
        @SerialName("i") public val answer: Int = 0,
    )

    /**
     * A part that is in quarantine, or was lately.
     *
     * @property count how many times it has been put into quarantine.
     * @property ageMillis time since it was put into quarantine last.
     * @property evidenceAgeMillis time since the first crash that this rests on.
     */
    @Serializable
    public data class QuarantinedPart(
        @SerialName("p") public val part: PromptPartId,
        @SerialName("n") public val count: Int,
        @SerialName("g") public val ageMillis: Long,
        @SerialName("e") public val evidenceAgeMillis: Long,
    )
}
