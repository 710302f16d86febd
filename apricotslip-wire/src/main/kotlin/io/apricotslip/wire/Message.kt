package io.apricotslip.wire

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.CustomerId
import io.apricotslip.api.id.ManifestRevision
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.api.peer.SafetyMessage
import io.apricotslip.api.work.WorkClass
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What nodes send each other over a link. docs/PROTOCOL.md describes each message. */
@Serializable
public sealed class Message {
    /** A message of the core protocol. */
    @Serializable
    @SerialName("s")
    public data class Safety(public val body: SafetyMessage) : Message()

    /** Statuses of the engines that the sender owns. */
    @Serializable
    @SerialName("es")
    public data class Engines(public val engines: List<EngineStatus>) : Message()

    /**
     * Asks the owner of [server] to run a request.
     *
     * @property budgetMillis time left until the caller's deadline, in milliseconds.
     * @property traceparent W3C trace context of the sender's span.
     */
    @Serializable
    @SerialName("gs")
    public data class GenerateStart(
        public val request: RequestId,
        public val server: BackendServerId,
        public val adapter: AdapterVersion,
        public val revision: ManifestRevision,
        public val workClass: WorkClass,
        public val customer: CustomerId,
        public val prompt: String,
        public val maxTokens: Int,
        public val budgetMillis: Long,
        public val traceparent: String? = null,
    ) : Message()

    /** Text of an answer; [offset] counts the tokens before it. */
    @Serializable
    @SerialName("gc")
    public data class GenerateChunk(
        public val request: RequestId,
        public val offset: Int,
        public val tokens: List<String>,
    ) : Message()

    /** End of a whole answer of [total] tokens, made by [adapter]. */
    @Serializable
    @SerialName("ge")
    public data class GenerateEnd(
        public val request: RequestId,
        public val total: Int,
        public val adapter: AdapterVersion,
        public val server: BackendServerId,
        public val finish: String,
        public val stallMillis: Long,
    ) : Message()

    /** The request ended without a whole answer. */
    @Serializable
    @SerialName("gr")
    public data class GenerateRefused(public val request: RequestId, public val refusal: Refusal) : Message()

    /** Asks for the answer again from token [from], after a lost link or at another VM. */
    @Serializable
    @SerialName("gm")
    public data class GenerateResume(
        public val request: RequestId,
        public val server: BackendServerId,
        public val adapter: AdapterVersion,
        public val from: Int,
        public val budgetMillis: Long,
    ) : Message()

    /** The caller went away; frees the slot on the engine. */
    @Serializable
    @SerialName("gx")
    public data class GenerateCancel(public val request: RequestId) : Message()

    /** The receiver of chunks has passed on all tokens before [upTo]; the sender may run ahead by its window. */
    @Serializable
    @SerialName("gw")
    public data class GenerateCredit(public val request: RequestId, public val upTo: Int) : Message()

    /** Asks the home VM of an idempotency key to run a call of a plain service. */
    @Serializable
    @SerialName("rs")
    public data class ReserveStart(
        public val request: RequestId,
        public val service: ServiceId,
        public val key: String,
        public val method: String,
        public val path: String,
        public val contentType: String?,
        public val body: ByteArray,
        public val budgetMillis: Long,
        public val traceparent: String? = null,
    ) : Message() {
        override fun equals(other: Any?): Boolean = other is ReserveStart && other.request == request

        override fun hashCode(): Int = request.hashCode()
    }

    /** The answer of the plain service. */
    @Serializable
    @SerialName("re")
    public data class ReserveEnd(
        public val request: RequestId,
        public val status: Int,
        public val contentType: String?,
        public val body: ByteArray,
        public val server: BackendServerId,
    ) : Message() {
        override fun equals(other: Any?): Boolean = other is ReserveEnd && other.request == request

        override fun hashCode(): Int = request.hashCode()
    }

    /** The call ended without an answer of the service. */
    @Serializable
    @SerialName("rr")
    public data class ReserveRefused(public val request: RequestId, public val refusal: Refusal) : Message()

    /** Lends [tokens] loads of the weight store; the sender has subtracted them already. */
    @Serializable
    @SerialName("tl")
    public data class TokenLoan(public val tokens: Double) : Message()

    /** The sender needs [wanted] loads of the weight store; [urgency] is the rank of its most urgent one, 0 first. */
    @Serializable
    @SerialName("ta")
    public data class TokenAsk(public val wanted: Double, public val urgency: Int) : Message()

    /** The sender is stopping and takes no new work. */
    @Serializable
    @SerialName("st")
    public data object Stopping : Message()
}
