package io.apricotslip.api.peer

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.id.SoftwareVersion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What began a stream, which decides where it may go on: what two software versions write does not fit together. */
@Serializable
public sealed class StreamOrigin {
    /** The service that the stream is of. */
    public abstract val service: ServiceId

    /** A server of [service] that runs [software]. */
    @Serializable
    @SerialName("v")
    public data class Version(
        @SerialName("c") override val service: ServiceId,
        @SerialName("w") public val software: SoftwareVersion,
    ) : StreamOrigin()

    /** One incarnation of a server whose software version is not known, so that no other one is known to fit. */
    @Serializable
    @SerialName("i")
    public data class Incarnation(
        @SerialName("c") override val service: ServiceId,
        @SerialName("s") public val server: BackendServerId,
        @SerialName("b") public val startedAtMillis: Long,
    ) : StreamOrigin()
}
