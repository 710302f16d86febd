package io.apricotslip.api.peer

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.id.StreamKey
import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Messages between nodes about backend servers that check the instance and the adapter of a request themselves. */
@Serializable
public sealed class FleetMessage {
    /**
     * Periodic report of a node to its hub, or of a hub to the other hubs, sent a few times a second.
     *
     * @property zone availability zone of the sender.
     * @property weight capacity of the sender; of the nodes of a zone those with the highest become hubs.
     * @property uptimeMillis time since the sender's process started.
     * @property hub whether the sender is a hub; the report then covers all nodes that report to it.
     * @property nodes number of nodes that the report covers, the sender included; 0 when the sender withdraws it.
     * @property maxUptimeMillis longest uptime of the nodes that the report covers.
     * @property uses requests of these nodes at backend servers; a server that is not listed has none.
     * @property claims backend servers whose holder is one of these nodes.
     * @property hubs hubs that the sender knows; left out of most reports, as they change rarely.
     * @property crashes what the sender knows about crashes of backend servers; null when there is nothing to tell.
     * @property requests requests that these nodes received within the last seconds.
     * @property limits limits that backend servers named lately.
     * @property brittle what backend servers said lately about being brittle.
     * @property store how far these nodes have read the store; null when the sender has not read it.
     * @property helpers some of these nodes that reach backend servers.
     * @property cutOff whether the sender reaches no backend server, so that it can give no orders.
     * @property allowances what workspaces sent to these nodes within the last second.
     * @property paces limits of backend servers that just started or recovered.
     * @property timings what these nodes measured of backend servers.
     */
    @Serializable
    @SerialName("st")
    public data class Report(
        @SerialName("z") public val zone: ZoneId,
        @SerialName("w") public val weight: Int,
        @SerialName("t") public val uptimeMillis: Long,
        @SerialName("h") public val hub: Boolean = false,
        @SerialName("n") public val nodes: Int = 1,
        @SerialName("x") public val maxUptimeMillis: Long = uptimeMillis,
        @SerialName("u") public val uses: List<ServerUse> = emptyList(),
        @SerialName("c") public val claims: List<ServerClaim> = emptyList(),
        @SerialName("d") public val hubs: List<HubEntry> = emptyList(),
        @SerialName("k") public val crashes: CrashEvidence? = null,
        @SerialName("q") public val requests: Int = 0,
        @SerialName("l") public val limits: List<ServerLimit> = emptyList(),
        @SerialName("b") public val brittle: List<BrittleServer> = emptyList(),
        @SerialName("p") public val store: StoreProgress? = null,
        @SerialName("e") public val helpers: List<Helper> = emptyList(),
        @SerialName("f") public val cutOff: Boolean = false,
        @SerialName("a") public val allowances: List<AllowanceUse> = emptyList(),
        @SerialName("v") public val paces: List<ServerPaceUse> = emptyList(),
        @SerialName("y") public val timings: List<ServerTimingUse> = emptyList(),
    ) : FleetMessage()

    /**
     * Periodic summary of the fleet, sent by a hub to the nodes that report to it.
     *
     * @property nodes number of nodes of the fleet.
     * @property totals work of all nodes at backend servers; a server that is not listed has none.
     * @property claims the claims that the hub knows.
     * @property hubs hubs that the sender knows; left out of most digests.
     * @property crashes what the hub knows about crashes of backend servers; null when there is nothing to tell.
     * @property requests requests that all nodes received within the last seconds.
     * @property limits limits that backend servers named lately.
     * @property brittle what backend servers said lately about being brittle.
     * @property store how far the nodes have read the store; null when the hub knows of none that has.
     * @property helpers some nodes that reach backend servers.
     * @property allowances what workspaces sent to all nodes within the last second.
     * @property paces limits of backend servers that just started or recovered.
     * @property timings what all nodes measured of backend servers.
     */
    @Serializable
    @SerialName("dg")
    public data class Digest(
        @SerialName("n") public val nodes: Int,
        @SerialName("t") public val totals: List<ServerTotal>,
        @SerialName("c") public val claims: List<ServerClaim>,
        @SerialName("d") public val hubs: List<HubEntry> = emptyList(),
        @SerialName("k") public val crashes: CrashEvidence? = null,
        @SerialName("q") public val requests: Int = 0,
        @SerialName("l") public val limits: List<ServerLimit> = emptyList(),
        @SerialName("b") public val brittle: List<BrittleServer> = emptyList(),
        @SerialName("p") public val store: StoreProgress? = null,
        @SerialName("e") public val helpers: List<Helper> = emptyList(),
        @SerialName("a") public val allowances: List<AllowanceUse> = emptyList(),
        @SerialName("v") public val paces: List<ServerPaceUse> = emptyList(),
        @SerialName("y") public val timings: List<ServerTimingUse> = emptyList(),
    ) : FleetMessage()

    /** Tells a node that reported to the wrong node which hubs the sender knows. */
    @Serializable
    @SerialName("hb")
    public data class Hubs(@SerialName("d") public val hubs: List<HubEntry>) : FleetMessage()

    /**
     * Asks the holder of [server] to load [adapter] in [version] or a newer one.
     *
     * @property missing whether the server reported that the adapter is not resident.
     * @property number number of the request, repeated in the answer.
     * @property dueInMillis time until the adapter must be loaded for an answer within the latency objective.
     * @property expiresInMillis time until the request stops waiting for the load.
     * @property hops nodes that passed the request on so far.
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
        @SerialName("h") public val hops: Int = 0,
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

    /** Streams whose first event a node has passed on, for the nodes at which callers may take them up. */
    @Serializable
    @SerialName("sb")
    public data class StreamsBegun(@SerialName("g") public val groups: List<StreamGroup>) :
        FleetMessage(),
        StreamMessage

    /**
     * Streams that began alike.
     *
     * @property lifetimeMillis time for which they may be taken up.
     */
    @Serializable
    public data class StreamGroup(
        @SerialName("o") public val origin: StreamOrigin,
        @SerialName("l") public val lifetimeMillis: Long,
        @SerialName("k") public val streams: List<StreamKey>,
    )

    /**
     * Asks what began a stream that a caller takes up.
     *
     * @property number number of the question, repeated in the answer.
     * @property service service of which the stream must be if nobody knows what began it; null if it could be of
     * several.
     * @property lifetimeMillis time for which streams of that kind may be taken up.
     * @property relay whether the receiver asks other nodes if it does not know.
     */
    @Serializable
    @SerialName("sq")
    public data class StreamQuestion(
        @SerialName("n") public val number: Long,
        @SerialName("k") public val stream: StreamKey,
        @SerialName("c") public val service: ServiceId?,
        @SerialName("l") public val lifetimeMillis: Long,
        @SerialName("f") public val relay: Boolean = false,
    ) : FleetMessage(),
        StreamMessage

    /**
     * Answers the [StreamQuestion] with [number].
     *
     * @property knowledge what the sender knows of the stream.
     * @property versions the versions of the service that the sender has seen within the lifetime of streams.
     */
    @Serializable
    @SerialName("sa")
    public data class StreamAnswer(
        @SerialName("n") public val number: Long,
        @SerialName("o") public val knowledge: StreamKnowledge,
        @SerialName("v") public val versions: ServedVersions,
    ) : FleetMessage(),
        StreamMessage

    /**
     * What one incarnation of a backend server said about being brittle.
     *
     * @property rejectionsPerSecond requests a second that it can turn away; null when it is not brittle any more.
     * @property ageMillis time since the answer that this was read from.
     */
    @Serializable
    public data class BrittleServer(
        @SerialName("s") public val server: BackendServerId,
        @SerialName("b") public val startedAtMillis: Long,
        @SerialName("r") public val rejectionsPerSecond: Int?,
        @SerialName("g") public val ageMillis: Long,
    )

    /**
     * A node that takes requests of nodes that reach no backend server.
     *
     * @property token what such a request must carry; a node that restarts chooses another one.
     * @property ageMillis time since the node stated that it reaches servers.
     */
    @Serializable
    public data class Helper(
        @SerialName("v") public val vm: VmId,
        @SerialName("z") public val zone: ZoneId,
        @SerialName("t") public val token: String,
        @SerialName("g") public val ageMillis: Long = 0,
    )

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
     * Work of all nodes at one backend server.
     *
     * @property adaptersInUse number of adapters that requests use or wait for.
     * @property adaptersPending number of those that are not resident.
     */
    @Serializable
    public data class ServerTotal(
        @SerialName("s") public val server: BackendServerId,
        @SerialName("r") public val running: Int,
        @SerialName("u") public val pendingPromptTokens: Long,
        @SerialName("m") public val kvCacheTokens: Long,
        @SerialName("a") public val adaptersInUse: Int,
        @SerialName("p") public val adaptersPending: Int,
    )

    /**
     * A claim on the orders for one incarnation of a backend server.
     *
     * @property holder the node that holds the claim.
     * @property startedAtMillis Unix time of the start of that incarnation, in milliseconds.
     * @property ageMillis time since the holder stated the claim.
     * @property slots adapters of the server; null when they did not change lately.
     */
    @Serializable
    public data class ServerClaim(
        @SerialName("s") public val server: BackendServerId,
        @SerialName("o") public val holder: VmId,
        @SerialName("b") public val startedAtMillis: Long,
        @SerialName("f") public val fence: FenceNumber,
        @SerialName("g") public val ageMillis: Long = 0,
        @SerialName("l") public val slots: ServerSlots? = null,
    )

    /**
     * The adapters of a backend server.
     *
     * @property resident loaded adapters, with their versions.
     * @property loading adapters that are being loaded.
     */
    @Serializable
    public data class ServerSlots(
        @SerialName("r") public val resident: Map<String, Long>,
        @SerialName("i") public val loading: List<String>,
    )

    /**
     * The limit on requests that one incarnation of a backend server named, or named no longer.
     *
     * @property perSecond requests a second that it takes from all nodes together; null when it names no limit.
     * @property ageMillis time since the answer that this was read from.
     */
    @Serializable
    public data class ServerLimit(
        @SerialName("s") public val server: BackendServerId,
        @SerialName("b") public val startedAtMillis: Long,
        @SerialName("p") public val perSecond: Double?,
        @SerialName("g") public val ageMillis: Long,
    )

    /**
     * A node that is a hub, or that is next in line in its availability zone.
     *
     * @property established whether it has been a hub for a while; a node of higher weight does not displace it.
     * @property ageMillis time since it was last heard.
     */
    @Serializable
    public data class HubEntry(
        @SerialName("v") public val vm: VmId,
        @SerialName("z") public val zone: ZoneId,
        @SerialName("w") public val weight: Int,
        @SerialName("e") public val established: Boolean = false,
        @SerialName("g") public val ageMillis: Long = 0,
    )
}
