package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.gateway.Dialect
import io.apricotslip.gateway.help.FleetHelp
import io.apricotslip.gateway.help.ServerProber
import io.apricotslip.gateway.observe.DecisionLog
import io.apricotslip.gateway.observe.GatewayMetrics
import io.apricotslip.gateway.peer.StreamExchange
import io.apricotslip.gateway.room.Rooms
import io.apricotslip.gateway.server.ServerConnectionPool
import io.apricotslip.serving.crash.RequestQuarantine
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.limit.ReturnSchedule
import io.apricotslip.serving.limit.TrafficMeter
import io.apricotslip.serving.order.LoadRequest
import io.apricotslip.serving.placement.Candidates
import io.apricotslip.serving.placement.EngineSelector
import io.apricotslip.serving.placement.PlainServerSelector
import io.apricotslip.serving.retry.RetryBudget
import io.apricotslip.serving.state.DesiredState
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.timing.FailureProbes
import io.netty.channel.EventLoop
import kotlin.math.min

/**
 * State and collaborators that all exchanges of a node share; everything runs on [loop].
 *
 * @property stopping whether the node takes no more requests.
 * @property endsAt time at which the node ends, after which no server is to work for it; the far future until it was
 * asked to stop.
 */
internal class ExchangeContext(
    val loop: EventLoop,
    val now: () -> Long,
    val dialect: Dialect,
    val servers: Servers,
    val rules: Rules,
    val streams: StreamExchange,
    val log: DecisionLog,
    val metrics: GatewayMetrics,
    val desiredState: () -> DesiredState?,
    val nodeCount: () -> Int,
    val initializing: () -> Boolean,
    val stopping: () -> Boolean,
    val endsAt: () -> Long,
) {
    val announcements: AnnouncementRecorder
        get() = servers.announcements

    val help: FleetHelp
        get() = servers.help

    /** Those of [servers] that just started and are at their limits, as far as requests of this node go. */
    fun atPaceLimit(servers: List<Server>, now: Long): Set<BackendServerId> {
        val growing = servers.filter { it.pace.growing }
        if (growing.isEmpty()) return emptySet()
        val share = rules.traffic.share(now)
        return growing.filterNot { it.withinPace(share, now) }.mapTo(HashSet()) { it.id }
    }

    /** When a request that arrived at [startedAt] must end, by its route, its caller or the end of this node. */
    fun deadlineAt(route: Route, metadata: RequestMetadata, startedAt: Long): Long =
        min(startedAt + min(route.timeoutMillis, metadata.deadlineMillis ?: Long.MAX_VALUE), endsAt())

    /** The backend servers, the connections to them, and the ways to load adapters on them and to reach them at all. */
    class Servers(
        val fleet: Fleet,
        val pool: ServerConnectionPool,
        val adapterLoader: AdapterLoader,
        val crashWatch: ServerCrashWatch,
        val announcements: AnnouncementRecorder,
        val help: FleetHelp,
        val prober: ServerProber,
        val pace: PaceRecorder,
    )

    /** The policies that select a server for a request and limit its retries. */
    class Rules(
        val engines: EngineSelector,
        val plain: PlainServerSelector,
        val retryBudget: (ServiceId) -> RetryBudget,
        val minVersion: (ServedAdapter, Long) -> Long?,
        val quarantine: RequestQuarantine,
        val traffic: TrafficMeter,
        val returnSchedule: (ServiceId) -> ReturnSchedule,
        val allowances: AllowanceGate,
        val engineCandidates: (queues: Boolean, nodes: Int) -> Candidates,
        val plainCandidates: (queues: Boolean) -> Candidates,
        val probes: FailureProbes = FailureProbes(),
    )

    /** Requests in flight that this node serves; they may be put into quarantine. */
    val openRequests: MutableSet<Exchange> = LinkedHashSet()

    /** Requests that wait for a place at the servers, or have one. */
    val rooms = Rooms(this)

    /** Number of requests in flight, those that other nodes serve included. */
    val openCount: Int
        get() = openRequests.size + help.open.size

    /** Loads adapters on backend servers. */
    fun interface AdapterLoader {
        /**
         * Requests the load of [request] on [server].
         *
         * @param missing whether the server reported that it does not have the adapter.
         * @param done receives null when the adapter is loaded, otherwise the reason of the failure.
         */
        fun load(server: Server, request: LoadRequest, missing: Boolean, done: (String?) -> Unit)
    }
}
