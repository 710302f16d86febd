package io.apricotslip.gateway

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.peer.FleetMessage
import io.apricotslip.gateway.caller.CallerHandler
import io.apricotslip.gateway.caller.CallerResponse
import io.apricotslip.gateway.caller.CallerServer
import io.apricotslip.gateway.exchange.ExchangeContext
import io.apricotslip.gateway.exchange.ExchangeRouter
import io.apricotslip.gateway.observe.DecisionLog
import io.apricotslip.gateway.observe.GatewayMetrics
import io.apricotslip.gateway.observe.PlainPage
import io.apricotslip.gateway.order.AdapterLoadRequester
import io.apricotslip.gateway.order.OrderCoordinator
import io.apricotslip.gateway.order.OrderSender
import io.apricotslip.gateway.order.ServerOrders
import io.apricotslip.gateway.peer.PeerDesk
import io.apricotslip.gateway.peer.PeerReports
import io.apricotslip.gateway.server.Connector
import io.apricotslip.gateway.server.ServerConnectionPool
import io.apricotslip.serving.fleet.AdapterVersions
import io.apricotslip.serving.fleet.Fleet
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.fleet.ServerEntry
import io.apricotslip.serving.member.Members
import io.apricotslip.serving.order.AdapterLoadEstimator
import io.apricotslip.serving.order.OrderClaims
import io.apricotslip.serving.placement.EngineSelector
import io.apricotslip.serving.placement.PlainServerSelector
import io.apricotslip.serving.retry.RetryBudget
import io.apricotslip.serving.state.CallerLimits
import io.apricotslip.serving.state.DesiredState
import io.apricotslip.wire.KtorPeerNetwork
import io.netty.channel.EventLoop
import org.tinylog.kotlin.Logger
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * A node: takes requests of callers, sends each to a backend server that can answer it in time, gives the orders to the
 * backend servers that it claims, and tells its peers what it does. All of its state lives on [loop].
 */
public class Gateway(
    private val options: GatewayOptions,
    private val dialect: Dialect,
    private val loop: EventLoop,
    public val metrics: GatewayMetrics = GatewayMetrics(),
) : StoreListener {
    private val startedAt = System.nanoTime()
    private val log = DecisionLog(::now)
    private val fleet = Fleet()
    private val versions = AdapterVersions()
    private val members = Members(options.self, options.seeds)
    private val claims = OrderClaims(options.self, options.nodeNumber, options.orderLeaseMillis, now())
    private val pool = ServerConnectionPool(Connector(loop), ::now)
    private val loadPace = AdapterLoadEstimator()
    private val budgets = HashMap<ServiceId, RetryBudget>()
    private val network = KtorPeerNetwork(
        options.self,
        Incarnation(Random.nextLong(1, Long.MAX_VALUE)),
        options.address,
        options.peerPort,
    )
    private val peers = PeerDesk(network, members, loop, options.zone, options.peerPort, ::now, ::receive)
    private val reports = PeerReports(fleet, members, ::now)
    private val orders = OrderCoordinator(fleet, claims, { state }, log, ::desk)
    private val loads = AdapterLoadRequester(options.self, loop, orders, ::now, peers::send)
    private val exchanges = ExchangeRouter(exchangeContext())
    private val callers = CallerServer(
        loop,
        exchanges,
        { state?.limits ?: CallerLimits.Initial },
        ::now,
        options.maxCallerConnections,
        options.maxBufferedBodyBytes,
    )
    private val readiness = page { _, answer -> PlainPage.status(answer, if (ready()) READY else NOT_READY) }
    private val metricsPage = page { _, answer -> PlainPage.text(answer, metrics.text()) }
    private var state: DesiredState? = null
    private var serversKnown = false
    private var stoppingSince: Long? = null

    /** Milliseconds of the steady clock since the process made this gateway. */
    public fun now(): Long = (System.nanoTime() - startedAt) / NANOS_PER_MILLI

    /** Starts to listen and to talk to peers; blocks until it listens. */
    public fun start() {
        readiness.start(options.readyHost, options.readyPort)
        options.metricsPort?.let { metricsPage.start(options.readyHost, it) }
        callers.start(options.callerHost, options.callerPort)
        loop.execute(peers::start)
        loop.scheduleWithFixedDelay(
            guarded("report") {
                peers.broadcast(reports.own(orders))
            },
            REPORT_MILLIS,
            REPORT_MILLIS,
            TimeUnit.MILLISECONDS,
        )
        loop.scheduleWithFixedDelay(guarded("tick", ::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS)
        watchMetrics()
    }

    /**
     * Stops: says that it is not ready, answers what is under way and what still comes on open connections, then ends.
     * The future completes when nothing is left, or the grace is over.
     */
    public fun stop(): CompletableFuture<Unit> {
        val stopped = CompletableFuture<Unit>()
        loop.execute {
            if (stoppingSince != null) return@execute
            stoppingSince = now()
            Logger.info { "event=stopping open=${exchanges.openCount} callers=${callers.connections}" }
            orders.releaseAll()
            callers.drain(hard = false)
            awaitDrained(stopped)
        }
        return stopped
    }

    override fun onDesiredState(state: DesiredState, revision: Long) {
        val known = this.state
        if (known != null && known.version >= state.version) return
        this.state = state
        log.write {
            "event=desired_state version=${state.version} revision=$revision routes=${state.routes.size} " +
                "services=${state.services.size} before=${known?.version}"
        }
        if (read()) exchanges.onStateLoaded()
    }

    override fun onServer(entry: ServerEntry, revision: Long) {
        val change = fleet.applyEntry(entry, revision, now())
        if (change == Fleet.Change.UPDATED || change == Fleet.Change.STALE) return
        log.write {
            "event=server server=${entry.id} change=$change service=${entry.service} revision=$revision " +
                "address=${entry.host}:${entry.port} adapters=${entry.adapters.size} leaving=${entry.leaving}"
        }
    }

    override fun onServerRemoved(id: BackendServerId, revision: Long) {
        val gone = fleet.applyRemoval(id, now())
        log.write { "event=server_removed server=$id revision=$revision gone=$gone" }
        if (gone) pool.forget(id)
    }

    override fun onServersListed(ids: Set<BackendServerId>) {
        serversKnown = true
        fleet.applyListing(ids, now()).forEach(pool::forget)
        if (read()) exchanges.onStateLoaded()
    }

    override fun onAdapterVersion(adapter: ServedAdapter, version: Long, revision: Long) {
        if (!versions.recordDeclared(adapter, version, now())) return
        log.write { "event=adapter_version adapter=$adapter version=$version revision=$revision" }
        orders.replaceOlderVersions(adapter, version)
    }

    override fun onStoreUnavailable(reason: String) {
        Logger.warn { "event=store_lost reason=\"$reason\"" }
        fleet.onStoreUnavailable()
    }

    override fun onStoreAvailable() {
        Logger.info { "event=store_regained" }
        fleet.onStoreAvailable(now())
    }

    private fun ready(): Boolean = read() && stoppingSince == null

    private fun read(): Boolean = state != null && serversKnown

    private fun page(handler: CallerHandler) =
        CallerServer(loop, handler, { CallerLimits.Initial }, ::now, MOST_PAGE_CALLERS, PAGE_BODY_BYTES)

    private fun exchangeContext() = ExchangeContext(
        loop = loop,
        now = ::now,
        dialect = dialect,
        servers = ExchangeContext.Servers(fleet, pool, loads::request),
        rules = ExchangeContext.Rules(
            engines = EngineSelector(options.zone, loadPace, ::loadable),
            plain = PlainServerSelector(options.zone),
            retryBudget = ::budget,
            requiredVersion = versions::minVersion,
        ),
        log = log,
        metrics = metrics,
        desiredState = { state },
        nodeCount = members::size,
        initializing = { !read() },
        stopping = { stoppingSince?.let { now() - it > ACCEPT_MILLIS } ?: false },
    )

    private fun desk(refused: (Server) -> Unit) = ServerOrders.Context(
        self = options.self,
        loop = loop,
        now = ::now,
        sender = OrderSender(loop, pool, dialect),
        log = log,
        metrics = metrics,
        newestVersion = versions::newest,
        loadEstimator = loadPace,
        activeStoreLoads = { fleet.all.sumOf(Server::storeLoadsInFlight) },
        onFenced = refused,
    )

    private fun budget(service: ServiceId) = budgets.getOrPut(service) {
        RetryBudget(options.retryBudgetRatio, options.retryBudgetSlack, options.retryBudgetWindowMillis)
    }

    private fun loadable(server: Server): Boolean {
        val holder = orders.holder(server.id) ?: return false
        return holder == options.self || holder in network.connectedPeers()
    }

    private fun receive(peer: VmId, message: FleetMessage) {
        when (message) {
            is FleetMessage.Report -> reports.heard(peer, message, orders)
            is FleetMessage.LoadAsk -> loads.onRequest(peer, message)
            is FleetMessage.LoadAnswer -> loads.onAnswer(message)
        }
    }

    private fun tick() {
        val now = now()
        val live = members.live(now)
        reports.tick(orders)
        fleet.removeLapsed(now).forEach {
            log.write { "event=server_lapsed server=$it" }
            pool.forget(it)
        }
        val taking = stoppingSince == null
        if (taking) orders.tick(live, members, System.currentTimeMillis() / MILLIS_PER_SECOND)
        peers.follow()
        callers.check()
        readiness.check()
        pool.trim()
        exchanges.failSilentRequests(fleet.all, pool, now)
    }

    private fun awaitDrained(stopped: CompletableFuture<Unit>) {
        val since = now() - (stoppingSince ?: now())
        val idle = exchanges.openCount == 0 && since > ACCEPT_MILLIS
        if (since > ACCEPT_MILLIS) callers.drain(hard = true)
        if (idle && callers.connections == 0 || since > options.shutdownGraceMillis - EXIT_MILLIS) {
            callers.close()
            peers.close()
            stopped.complete(Unit)
            return
        }
        loop.schedule({ awaitDrained(stopped) }, TICK_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun watchMetrics() {
        metrics.watch("apricotslip_open_exchanges", "Requests under way.") { exchanges.openCount.toDouble() }
        metrics.watch("apricotslip_live_nodes", "Nodes heard lately.") { members.live(now()).size.toDouble() }
        metrics.watch("apricotslip_servers", "Backend servers believed in.") { fleet.all.size.toDouble() }
        metrics.watch("apricotslip_held_servers", "Backend servers claimed.") { claims.heldServers().size.toDouble() }
        metrics.watch("apricotslip_server_connections", "Connections opened.") { pool.opened.toDouble() }
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

        /** Loads and queues change within a few hundred milliseconds; a report is a few hundred bytes. */
        const val REPORT_MILLIS = 150L
        const val TICK_MILLIS = 100L

        /** The balancer takes a node out after two misses of a check each second. */
        const val ACCEPT_MILLIS = 2_600L

        /** Left of the grace for the end of the process. */
        const val EXIT_MILLIS = 500L
        const val MOST_PAGE_CALLERS = 64
        const val PAGE_BODY_BYTES = 65_536L
        const val READY = 200
        const val NOT_READY = 503
    }
}
