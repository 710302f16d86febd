package io.apricotslip.gateway

import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.api.peer.StreamMessage
import io.apricotslip.gateway.caller.CallerHandler
import io.apricotslip.gateway.caller.CallerResponse
import io.apricotslip.gateway.caller.CallerServer
import io.apricotslip.gateway.exchange.AllowanceGate
import io.apricotslip.gateway.exchange.AnnouncementRecorder
import io.apricotslip.gateway.exchange.ExchangeContext
import io.apricotslip.gateway.exchange.ExchangeRouter
import io.apricotslip.gateway.exchange.PaceRecorder
import io.apricotslip.gateway.exchange.ServerCrashWatch
import io.apricotslip.gateway.help.FleetHelp
import io.apricotslip.gateway.help.ServerLinks
import io.apricotslip.gateway.help.ServerProber
import io.apricotslip.gateway.observe.DecisionLog
import io.apricotslip.gateway.observe.EndpointResponses
import io.apricotslip.gateway.observe.GatewayGauges
import io.apricotslip.gateway.observe.GatewayMetrics
import io.apricotslip.gateway.observe.TimingLog
import io.apricotslip.gateway.order.AdapterLoadRequester
import io.apricotslip.gateway.order.OrderCoordinator
import io.apricotslip.gateway.order.OrderSender
import io.apricotslip.gateway.order.ServerOrders
import io.apricotslip.gateway.peer.PaceReports
import io.apricotslip.gateway.peer.PeerLinks
import io.apricotslip.gateway.peer.PeerReports
import io.apricotslip.gateway.peer.StreamExchange
import io.apricotslip.gateway.server.Connector
import io.apricotslip.gateway.server.ServerConnectionPool
import io.apricotslip.serving.allowance.WorkspaceAllowances
import io.apricotslip.serving.crash.RequestQuarantine
import io.apricotslip.serving.fleet.AdapterVersions
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.limit.TrafficMeter
import io.apricotslip.serving.member.FleetExchange
import io.apricotslip.serving.member.PauseDetector
import io.apricotslip.serving.order.AdapterLoadEstimator
import io.apricotslip.serving.order.OrderClaims
import io.apricotslip.serving.placement.EngineSelector
import io.apricotslip.serving.placement.PlainServerSelector
import io.apricotslip.serving.state.CallerLimits
import io.apricotslip.serving.timing.FleetTimings
import io.apricotslip.wire.KtorPeerNetwork
import io.netty.channel.EventLoop
import org.tinylog.kotlin.Logger
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * A node of the gateway: accepts requests of callers, sends each to a backend server that can answer it in time, gives
 * orders to the backend servers that it has claimed, and reports its state to its peers.
 *
 * All of its state is confined to [loop].
 */
public class Gateway(
    private val options: GatewayOptions,
    private val dialect: Dialect,
    private val loop: EventLoop,
    public val metrics: GatewayMetrics = GatewayMetrics(),
) {
    private val startedAt = System.nanoTime()
    private val log = DecisionLog(::now)
    private val fleet = Fleet(options.serverPace)
    private val versions = AdapterVersions()
    private val quarantine = RequestQuarantine()
    private val traffic = TrafficMeter()
    private val allowances =
        WorkspaceAllowances(expectedNodes = options.seeds.toSet().plus(options.self).size, options.allowanceBound)
    private val paceReports = PaceReports(options.serverPace, fleet)
    private val timings = FleetTimings(options.joinsServerTimings, fleet)
    private val reports =
        PeerReports(fleet, quarantine, traffic, allowances, paceReports, timings, ::help, ::published) { orders }
    private val exchange = FleetExchange(options.self, options.zone, options.weight, options.seeds, reports)
    private val pauses = PauseDetector(options.orderLeaseMillis / 2)
    private val claims = OrderClaims(options.self, options.nodeNumber, options.orderLeaseMillis, now())
    private val connector = Connector(loop)
    private val help: FleetHelp =
        FleetHelp(options.self, options.zone, options.callerPort, connector, log, ::now, ::isReady)
    private val pool = ServerConnectionPool(connector, ::now, help.reach) { server, reason ->
        metrics.recordStrayBytes()
        log.write { "event=stray_bytes server=$server reason=\"$reason\"" }
    }
    private val announcements = AnnouncementRecorder(log, ::now)
    private val timingLog = TimingLog(fleet, log, ::now)
    private val pace = PaceRecorder(options.serverPace, fleet, log, ::now, reports::isCutOff)
    private val streams = StreamExchange(loop, fleet, exchange, ::isLinked, ::now) { peerLinks.send(it) }
    private val published: PublishedState =
        PublishedState(
            fleet,
            versions,
            pool,
            log,
            ::now,
            streams,
            exchange::alone,
            onState = { allowances.applyDesired(it.workspaces, now()) },
            ::onStateLoaded,
            ::onAdapterVersion,
        )
    private val loadEstimator = AdapterLoadEstimator()
    private val policies = ServicePolicies(options)
    private val network = KtorPeerNetwork(
        options.self,
        Incarnation(Random.nextLong(1, Long.MAX_VALUE)),
        options.address,
        options.peerPort,
        PeerLinks.LINK_OPTIONS,
    )
    private val peerLinks = PeerLinks(network, loop, options.zone, options.peerPort, ::now, ::onPeerMessage)
    private val orders: OrderCoordinator = OrderCoordinator(fleet, claims, published::desiredState, log, ::orderContext)
    private val prober = ServerProber(loop, fleet, connector, dialect, help.reach, published::desiredState, ::now)
    private val crashWatch =
        ServerCrashWatch(fleet, quarantine, log, metrics, ::now, help.reach, connector::probe, prober::confirmReach)
    private val serverLinks = ServerLinks(help, prober, fleet, pool, orders)
    private val loadRequester = AdapterLoadRequester(options.self, loop, fleet, orders, ::now, peerLinks::send)
    private val exchanges = ExchangeRouter(exchangeContext())
    private val callers = CallerServer(
        loop,
        exchanges,
        { published.desiredState?.limits ?: CallerLimits.Initial },
        ::now,
        options.maxCallerConnections,
        options.maxBufferedBodyBytes,
        dialect::requestId,
    )
    private val readinessEndpoint = endpoint { _, response -> EndpointResponses.sendReadiness(response, isReady()) }
    private val metricsEndpoint = endpoint { _, response ->
        EndpointResponses.sendText(response, metrics.prometheusText())
    }
    private var stoppingSince: Long? = null
    private val runAfterStopMillis = options.shutdownGraceMillis - EXIT_RESERVE_MILLIS

    /** Receives what the platform's store publishes; must be called on the event loop. */
    public val storeListener: StoreListener
        get() = published

    /** Milliseconds on the monotonic clock since this gateway was created. */
    public fun now(): Long = (System.nanoTime() - startedAt) / NANOS_PER_MILLI

    /** Tells [follower] how far other nodes have read the store, and them how far it has. */
    public fun follow(follower: StoreFollower) {
        loop.execute { published.follower = follower }
    }

    /** Number of nodes of the fleet, as far as known. */
    public fun nodeCount(): Int = exchange.size(now())

    /**
     * Starts to listen and to connect to peers; blocks until the listening sockets are bound. Throws an
     * [java.io.IOException] if a port cannot be had; the gateway is of no use then.
     */
    public fun start() {
        readinessEndpoint.start(options.readyHost, options.readyPort)
        options.metricsPort?.let { metricsEndpoint.start(options.readyHost, it) }
        loop.submit(peerLinks::start).sync()
        val report = guarded("report") { peerLinks.send(exchange.tick(now())) }
        val tick = guarded("tick", ::tick)
        // One timer for both: each wake-up of the process costs processor time.
        val step = Runnable {
            report.run()
            tick.run()
        }
        loop.scheduleWithFixedDelay(step, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS)
        GatewayGauges.register(metrics, exchanges, exchange, fleet, claims, pool, ::now)
        GatewayGauges.registerQuarantine(metrics, quarantine, ::now)
        if (options.serverPace) GatewayGauges.registerPace(metrics, pace)
        if (timings.enabled) GatewayGauges.registerTimings(metrics, timings)
        metrics.waitingGauge(exchanges.rooms::waitingByPriority)
        // Last: until the loop runs at its pace, requests would wait without being counted as arrived.
        callers.start(options.callerHost, options.callerPort)
    }

    /** Closes the links to other nodes at once; [stop] does so once the requests in progress have ended. */
    public fun closeLinks(): Unit = peerLinks.close()

    /**
     * Shuts down gracefully: reports that it is not ready, completes the requests in progress and those that still
     * arrive on open connections, then closes. The future completes when none is left or the grace period has ended.
     */
    public fun stop(): CompletableFuture<Unit> {
        val stopped = CompletableFuture<Unit>()
        loop.execute {
            if (stoppingSince != null) return@execute
            stoppingSince = now()
            Logger.info { "event=stopping open=${exchanges.openCount} callers=${callers.connections}" }
            orders.releaseAll()
            callers.drain()
            awaitDrained(stopped)
        }
        return stopped
    }

    private fun isReady(): Boolean = published.loaded && stoppingSince == null

    private fun onStateLoaded(): Unit = exchanges.onStateLoaded()

    private fun onAdapterVersion(adapter: ServedAdapter, version: Long): Unit =
        orders.replaceOlderVersions(adapter, version)

    private fun endpoint(handler: CallerHandler) =
        CallerServer(loop, handler, { CallerLimits.Initial }, ::now, MAX_ENDPOINT_CONNECTIONS, MAX_ENDPOINT_BODY_BYTES)

    private fun exchangeContext() = ExchangeContext(
        loop = loop,
        now = ::now,
        dialect = dialect,
        servers =
        ExchangeContext.Servers(fleet, pool, loadRequester::request, crashWatch, announcements, help, prober, pace),
        rules = ExchangeContext.Rules(
            engines = EngineSelector(options.zone, loadEstimator, ::canLoadAdapters),
            plain = PlainServerSelector(options.zone),
            retryBudget = policies::retryBudget,
            minVersion = versions::minVersion,
            quarantine = quarantine,
            traffic = traffic,
            returnSchedule = policies::returnSchedule,
            allowances = AllowanceGate(allowances, metrics, ::now),
            engineCandidates = policies::engineCandidates,
            plainCandidates = policies::plainCandidates,
        ),
        streams = streams,
        log = log,
        metrics = metrics,
        desiredState = published::desiredState,
        nodeCount = ::nodeCount,
        initializing = { !published.loaded },
        stopping = { stoppingSince?.let { now() - it > ACCEPT_AFTER_STOP_MILLIS } ?: false },
        endsAt = { stoppingSince?.let { it + runAfterStopMillis } ?: Long.MAX_VALUE },
    )

    private fun orderContext(onFenced: (Server) -> Unit) = ServerOrders.Context(
        self = options.self,
        loop = loop,
        now = ::now,
        sender = OrderSender(loop, pool, dialect, announcements) { fleet.admission(it, now()) },
        log = log,
        metrics = metrics,
        newestVersion = versions::newest,
        loadEstimator = loadEstimator,
        activeStoreLoads = { fleet.all.sumOf(Server::storeLoadsInFlight) },
        onFenced = onFenced,
    )

    private fun canLoadAdapters(server: Server): Boolean =
        orders.nextHop(server.id)?.let { it == options.self || isLinked(it) } ?: false

    private fun isLinked(vm: VmId): Boolean = network.isConnected(vm)

    private fun onPeerMessage(peer: VmId, message: FleetMessage) {
        when (message) {
            is FleetMessage.LoadAsk -> loadRequester.onRequest(peer, message)
            is FleetMessage.LoadAnswer -> loadRequester.onAnswer(message)
            is StreamMessage -> streams.onMessage(peer, message)
            else -> peerLinks.send(exchange.receive(peer, message, now()))
        }
    }

    private fun tick() {
        val now = now()
        val wallMillis = System.currentTimeMillis()
        if (pauses.onTick(now, wallMillis)) onPaused(now)
        reports.recordLocalUse(now)
        pace.tick()
        timings.tick(now)
        if (timings.enabled) timingLog.tick()
        published.tick()
        streams.tick()
        fleet.removeLapsed(now).forEach {
            log.write { "event=server_lapsed server=$it" }
            pool.removeServer(it)
        }
        fleet.acceptReturned(now).forEach { log.write { "event=server_returned server=$it" } }
        serverLinks.tick()
        if (stoppingSince == null && !reports.isCutOff()) orders.tick(exchange, wallMillis / MILLIS_PER_SECOND)
        loadRequester.failHopeless()
        peerLinks.update(exchange.links(now))
        if (crashWatch.tick(now)) exchanges.endQuarantined()
        callers.closeExpired()
        readinessEndpoint.closeExpired()
        pool.closeExpired()
        exchanges.silence.tick(now)
        exchanges.rooms.tick()
    }

    /** Another node may have claimed the servers of this node while this process was paused. */
    private fun onPaused(now: Long) {
        Logger.warn { "event=paused claims=${claims.heldServers().size}" }
        exchange.onPaused(now)
        streams.versions.onPaused()
        help.reach.onPaused()
        orders.releaseAll()
    }

    private fun awaitDrained(stopped: CompletableFuture<Unit>) {
        val elapsed = now() - (stoppingSince ?: now())
        val idle = exchanges.openCount == 0 && elapsed > ACCEPT_AFTER_STOP_MILLIS
        if (elapsed > ACCEPT_AFTER_STOP_MILLIS) callers.closeIdle()
        if (idle && callers.connections == 0 || elapsed > runAfterStopMillis) {
            exchanges.endAll()
            callers.close()
            streams.flush()
            peerLinks.close()
            stopped.complete(Unit)
            return
        }
        loop.schedule({ awaitDrained(stopped) }, TICK_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun guarded(step: String, action: () -> Unit) = Runnable {
        try {
            action()
        } catch (e: Exception) {
            Logger.error(e, "event=step_failed step={}", step)
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val MILLIS_PER_SECOND = 1_000L
        const val TICK_MILLIS = FleetExchange.INTERVAL_MILLIS

        /** The load balancer checks each second, and sends requests to a node until two checks have failed. */
        const val ACCEPT_AFTER_STOP_MILLIS = 2_600L

        /** Part of the grace period that is left for the exit of the process. */
        const val EXIT_RESERVE_MILLIS = 500L
        const val MAX_ENDPOINT_CONNECTIONS = 64
        const val MAX_ENDPOINT_BODY_BYTES = 65_536L
    }
}
