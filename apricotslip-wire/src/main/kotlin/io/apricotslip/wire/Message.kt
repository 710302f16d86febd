package io.apricotslip.wire

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.api.peer.SafetyMessage
import io.apricotslip.api.work.WorkClass
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message between nodes over a link. docs/PROTOCOL.md specifies each of them. */
@Serializable
public sealed class Message {
    /** A message of the core protocol. */
    @Serializable
    @SerialName("s")
    public data class Safety(@SerialName("b") public val body: SafetyMessage) : Message()

    /** A message about backend servers that verify the target instance and the adapter of a request themselves. */
    @Serializable
    @SerialName("f")
    public data class Fleet(@SerialName("b") public val body: FleetMessage) : Message()

    /** Status of each engine that the sender owns. */
    @Serializable
    @SerialName("es")
    public data class Engines(@SerialName("e") public val engines: List<EngineStatus>) : Message()

    /**
     * Asks the owner of [server] to run a request.
     *
     * @property budgetMillis time left until the caller's deadline, in milliseconds.
     * @property traceparent W3C trace context of the sender's span.
     */
    @Serializable
    @SerialName("gs")
    public data class GenerateStart(
        @SerialName("r") public val request: RequestId,
        @SerialName("s") public val server: BackendServerId,
        @SerialName("a") public val adapter: AdapterVersion,
        @SerialName("v") public val revision: ManifestRevision,
        @SerialName("wc") public val workClass: WorkClass,
        @SerialName("c") public val customer: CustomerId,
        @SerialName("p") public val prompt: String,
        @SerialName("x") public val maxTokens: Int,
        @SerialName("u") public val budgetMillis: Long,
        @SerialName("tp") public val traceparent: String? = null,
    ) : Message()

    /** Consecutive tokens of an answer; [offset] is the number of tokens before them. */
    @Serializable
    @SerialName("gc")
    public data class GenerateChunk(
        @SerialName("r") public val request: RequestId,
        @SerialName("o") public val offset: Int,
        @SerialName("t") public val tokens: List<String>,
    ) : Message()

    /**
     * End of a complete answer.
     *
     * @property total number of tokens of the whole answer.
     * @property adapter adapter version that generated the answer.
     * @property finish finish reason that the engine gave.
     * @property stallMillis time that the request waited for its adapter, in milliseconds.
     */
    @Serializable
    @SerialName("ge")
    public data class GenerateEnd(
        @SerialName("r") public val request: RequestId,
        @SerialName("n") public val total: Int,
        @SerialName("a") public val adapter: AdapterVersion,
        @SerialName("s") public val server: BackendServerId,
        @SerialName("f") public val finish: String,
        @SerialName("st") public val stallMillis: Long,
    ) : Message()

    /** The request ended without a complete answer. */
    @Serializable
    @SerialName("gr")
    public data class GenerateRefused(
        @SerialName("r") public val request: RequestId,
        @SerialName("rf") public val refusal: Refusal,
    ) : Message()

    /** Requests the answer again from token [fromOffset] on, after the link was lost or from another VM. */
    @Serializable
    @SerialName("gm")
    public data class GenerateResume(
        @SerialName("r") public val request: RequestId,
        @SerialName("s") public val server: BackendServerId,
        @SerialName("a") public val adapter: AdapterVersion,
        @SerialName("fr") public val fromOffset: Int,
        @SerialName("u") public val budgetMillis: Long,
    ) : Message()

    /** The caller disconnected; cancels the request, which frees its slot on the engine. */
    @Serializable
    @SerialName("gx")
    public data class GenerateCancel(@SerialName("r") public val request: RequestId) : Message()

    /** Flow control: the receiver has forwarded all tokens before [upTo]; the sender may send a window beyond them. */
    @Serializable
    @SerialName("gw")
    public data class GenerateCredit(
        @SerialName("r") public val request: RequestId,
        @SerialName("to") public val upTo: Int,
    ) : Message()

    /** Asks the home VM of an idempotency key to run a call of a plain service. */
    @Serializable
    @SerialName("rs")
    public data class ReserveStart(
        @SerialName("r") public val request: RequestId,
        @SerialName("sv") public val service: ServiceId,
        @SerialName("k") public val key: String,
        @SerialName("me") public val method: String,
        @SerialName("pa") public val path: String,
        @SerialName("ct") public val contentType: String?,
        @SerialName("b") public val body: ByteArray,
        @SerialName("u") public val budgetMillis: Long,
        @SerialName("tp") public val traceparent: String? = null,
    ) : Message() {
        override fun equals(other: Any?): Boolean = other is ReserveStart && other.request == request

        override fun hashCode(): Int = request.hashCode()
    }

    /** The response of the plain service. */
    @Serializable
    @SerialName("re")
    public data class ReserveEnd(
        @SerialName("r") public val request: RequestId,
        @SerialName("ss") public val status: Int,
        @SerialName("ct") public val contentType: String?,
        @SerialName("b") public val body: ByteArray,
        @SerialName("s") public val server: BackendServerId,
    ) : Message() {
        override fun equals(other: Any?): Boolean = other is ReserveEnd && other.request == request

        override fun hashCode(): Int = request.hashCode()
    }

    /** The call ended without a response of the service. */
    @Serializable
    @SerialName("rr")
    public data class ReserveRefused(
        @SerialName("r") public val request: RequestId,
        @SerialName("rf") public val refusal: Refusal,
    ) : Message()

    /**
     * Lends [tokens] adapter loads of the sender's share of the weight store's rate. The sender has already subtracted
     * them from its own tokens.
     */
    @Serializable
    @SerialName("tl")
    public data class TokenLoan(@SerialName("t") public val tokens: Double) : Message()

    /**
     * Asks for a loan of adapter loads from the weight store.
     *
     * @property wanted number of loads that the sender lacks.
     * @property urgency rank of the most urgent of these loads; 0 is the most urgent.
     * @property waitedMillis how long that load has waited, in milliseconds.
     */
    @Serializable
    @SerialName("ta")
    public data class TokenAsk(
        @SerialName("w") public val wanted: Double,
        @SerialName("u") public val urgency: Int,
        @SerialName("m") public val waitedMillis: Long,
    ) : Message()

    /** The sender is shutting down and accepts no new work. */
    @Serializable
    @SerialName("st")
    public data object Stopping : Message()
}
