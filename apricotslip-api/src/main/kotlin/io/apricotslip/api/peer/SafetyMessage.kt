package io.apricotslip.api.peer

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.ManifestRevision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Messages of the core protocol between nodes; docs/DESIGN.md explains why each may be lost, repeated or delayed. */
@Serializable
public sealed class SafetyMessage {
    /** Asks the receiver to renew the sender's membership lease. */
    @Serializable
    @SerialName("hb")
    public data class Heartbeat(
        public val sequence: Long,
        public val listRevision: ListRevision,
        public val manifestRevision: ManifestRevision,
    ) : SafetyMessage()

    /**
     * Answers [Heartbeat]; sent only when the list of the heartbeat's receiver contains the heartbeat's sender. Carries
     * the revisions of the receiver.
     */
    @Serializable
    @SerialName("ha")
    public data class HeartbeatAck(
        public val sequence: Long,
        public val listRevision: ListRevision,
        public val manifestRevision: ManifestRevision,
    ) : SafetyMessage()

    /** Forwards a newer list of VMs. */
    @Serializable
    @SerialName("lo")
    public data class ListOffer(public val list: VmList) : SafetyMessage()

    /** Forwards the text of a newer manifest. */
    @Serializable
    @SerialName("mo")
    public data class ManifestOffer(public val revision: ManifestRevision, public val text: String) : SafetyMessage()

    /**
     * Standing consent to evicts: the sender starts no request on [server] while [listRevision] is its tenured list.
     * [incarnation] is the incarnation of the sender's process.
     */
    @Serializable
    @SerialName("pa")
    public data class Pass(
        public val server: BackendServerId,
        public val listRevision: ListRevision,
        public val incarnation: Incarnation = Incarnation(0),
    ) : SafetyMessage()

    /** Asks for consent to evict [adapter] from [server]. [order] increases with every evict of the sender. */
    @Serializable
    @SerialName("ea")
    public data class EvictAsk(
        public val server: BackendServerId,
        public val adapter: AdapterVersion,
        public val order: Long,
        public val listRevision: ListRevision,
    ) : SafetyMessage()

    /**
     * Answers [EvictAsk]. With [consent] the sender starts no request for the adapter on that server until [EvictDone].
     * [incarnation] is the incarnation of the sender's process.
     */
    @Serializable
    @SerialName("er")
    public data class EvictAnswer(
        public val server: BackendServerId,
        public val adapter: AdapterVersion,
        public val order: Long,
        public val listRevision: ListRevision,
        public val consent: Boolean,
        public val incarnation: Incarnation = Incarnation(0),
    ) : SafetyMessage()

    /** The evict numbered [order] was acknowledged by the engine, or abandoned before it was sent. */
    @Serializable
    @SerialName("ed")
    public data class EvictDone(
        public val server: BackendServerId,
        public val adapter: AdapterVersion,
        public val order: Long,
    ) : SafetyMessage()
}
