package io.apricotslip.api.peer

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Messages between nodes about backend servers that check the instance and the adapter of a request themselves. */
@Serializable
public sealed class FleetMessage {
    /**
     * Periodic report of the sender, sent a few times a second.
     *
     * @property uptimeMillis time since the sender's process started.
     * @property peers nodes from which the sender receives messages.
     * @property uses requests of the sender at backend servers; a server that is not listed has none.
     * @property claims backend servers whose holder is the sender, with their claims.
     */
    @Serializable
    @SerialName("st")
    public data class Report(
        @SerialName("t") public val uptimeMillis: Long,
        @SerialName("p") public val peers: List<VmId>,
        @SerialName("u") public val uses: List<ServerUse>,
        @SerialName("c") public val claims: List<ServerClaim>,
    ) : FleetMessage()

    /**
     * Asks the holder of [server] to load [adapter] in [version] or a newer one.
     *
     * @property missing whether the server reported that the adapter is not resident.
     * @property number number of the request, repeated in the answer.
     * @property dueInMillis time until the adapter must be loaded for an answer within the latency objective.
     * @property expiresInMillis time until the request stops waiting for the load.
     */
    @Serializable
    @SerialName("la")
    public data class LoadAsk(
        @SerialName("s") public val server: BackendServerId,
        @SerialName("a") public val adapter: String,
        @SerialName("v") public val version: Long,
        @SerialName("m") public val missing: Boolean,
        @SerialName("n") public val number: Long,
        @SerialName("d") public val dueInMillis: Long,
        @SerialName("u") public val expiresInMillis: Long,
    ) : FleetMessage()

    /** Answers the [LoadAsk] with [number]: whether the adapter is loaded, and in which version. */
    @Serializable
    @SerialName("lr")
    public data class LoadAnswer(
        @SerialName("n") public val number: Long,
        @SerialName("o") public val loaded: Boolean,
        @SerialName("v") public val version: Long = 0,
        @SerialName("r") public val reason: String? = null,
    ) : FleetMessage()

    /**
     * Utilization of one backend server by the requests of one node.
     *
     * @property running requests without a final answer.
     * @property pendingPromptTokens prompt tokens of the requests without a first event.
     * @property kvCacheTokens maximum tokens that the requests may occupy in the KV cache.
     * @property adapters adapters that the requests use.
     */
    @Serializable
    public data class ServerUse(
        @SerialName("s") public val server: BackendServerId,
        @SerialName("r") public val running: Int,
        @SerialName("u") public val pendingPromptTokens: Long,
        @SerialName("m") public val kvCacheTokens: Long,
        @SerialName("a") public val adapters: List<String>,
    )

    /**
     * A claim on the orders for one incarnation of a backend server.
     *
     * @property startedAtMillis Unix time of the start of that incarnation, in milliseconds.
     * @property resident loaded adapters, with their versions.
     * @property loading adapters that are being loaded.
     */
    @Serializable
    public data class ServerClaim(
        @SerialName("s") public val server: BackendServerId,
        @SerialName("b") public val startedAtMillis: Long,
        @SerialName("f") public val fence: FenceNumber,
        @SerialName("r") public val resident: Map<String, Long>,
        @SerialName("i") public val loading: List<String>,
    )
}
