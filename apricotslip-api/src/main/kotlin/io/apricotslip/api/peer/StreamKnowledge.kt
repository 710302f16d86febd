package io.apricotslip.api.peer

import io.apricotslip.api.id.SoftwareVersion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What nodes know of a stream that a caller takes up. */
@Serializable
public sealed class StreamKnowledge {
    /** [origin] wrote its first event. */
    @Serializable
    @SerialName("k")
    public data class Known(@SerialName("o") public val origin: StreamOrigin) : StreamKnowledge()

    /** Two streams of different origin began under the same id, so that it does not tell which one is meant. */
    @Serializable
    @SerialName("c")
    public data object Conflicting : StreamKnowledge()

    /** Nothing is known of it. */
    @Serializable
    @SerialName("u")
    public data object Unknown : StreamKnowledge()
}

/** The software versions of a service that have served within the lifetime of its streams, as far as a node knows. */
@Serializable
public sealed class ServedVersions {
    /** All servers ran [software]. */
    @Serializable
    @SerialName("1")
    public data class Single(@SerialName("w") public val software: SoftwareVersion) : ServedVersions()

    /** More than one version served, or one that has no name. */
    @Serializable
    @SerialName("2")
    public data object Several : ServedVersions()

    /** The node has not watched the service for long enough. */
    @Serializable
    @SerialName("0")
    public data object Unobserved : ServedVersions()
}
