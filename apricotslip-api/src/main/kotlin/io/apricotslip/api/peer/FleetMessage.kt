package io.apricotslip.api.peer

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.VmId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What nodes tell each other about backend servers that check instance and adapter themselves. */
@Serializable
public sealed class FleetMessage {
    /**
     * Report of the sender, sent a few times a second.
     *
     * @property uptimeMillis time since the sender's process started.
     * @property peers nodes that the sender hears.
     * @property uses work of the sender at backend servers; a server that is missing has none.
     * @property claims backend servers whose orders the sender gives.
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
     * Asks the holder of the orders for [server] to load [adapter] in at least [version].
     *
     * @property missing whether the server said that it does not hold the adapter.
     * @property dueInMillis time until the adapter must be in place for an answer within the objective.
     * @property expiresInMillis time after which the request does not wait any more.
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

    /** Answers the [LoadAsk] with [number]: whether the adapter is in place, and in which version. */
    @Serializable
    @SerialName("lr")
    public data class LoadAnswer(
        @SerialName("n") public val number: Long,
        @SerialName("o") public val loaded: Boolean,
        @SerialName("v") public val version: Long = 0,
        @SerialName("r") public val reason: String? = null,
    ) : FleetMessage()

    /**
     * Work of a node at one backend server.
     *
     * @property running requests without a final answer.
     * @property pendingPromptTokens prompt tokens of those without a first event.
     * @property kvCacheTokens tokens that they may come to hold.
     * @property adapters adapters that they use.
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
     * A claim on the orders for one life of a backend server.
     *
     * @property startedAtMillis Unix time of the start of that life, in milliseconds.
     * @property resident adapters in place, with their versions.
     * @property loading adapters on their way.
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
