package io.apricotslip.core

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.VmId
import io.apricotslip.api.manifest.Manifest
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.core.fleet.FleetDispatcher
import io.apricotslip.core.operators.NodeView
import io.apricotslip.platform.PublishedValue
import io.apricotslip.settings.NodeSettings
import io.apricotslip.wire.Message
import io.apricotslip.wire.PeerEvent
import org.tinylog.kotlin.Logger
import reactor.core.Disposables
import reactor.core.publisher.Mono
import reactor.core.publisher.Sinks
import reactor.netty.DisposableServer
import java.time.Duration

/**
 * One node: the entry role towards callers and the owner role towards backend servers, as a library. The daemon
 * `apricotslip-node` is a thin main around it.
 */
public class Node(private val settings: NodeSettings) : AutoCloseable {
    private val incarnation = Incarnation(System.currentTimeMillis())
    private val parts = NodeParts(settings, incarnation)
    private val fleet =
        FleetDispatcher(parts.loop, parts.links, parts.membership, parts.guard, parts.manifests, ::listChanged)
    private val work = Disposables.composite()
    private val stopped = Sinks.empty<Unit>()
    private var callers: DisposableServer? = null
    private var operators: DisposableServer? = null
    private var stopping = false
    private val toldStatuses = HashMap<BackendServerId, EngineStatus>()
    private var statusesToldAt = 0L

    /** Starts all roles; returns the ports in use. */
    public fun start(): NodePorts {
        parts.links.onLocal(::dispatch)
        parts.manifests.onChange(::manifestChanged)
        val peerPort = parts.network.start()
        parts.network
            .events()
            .publishOn(parts.loop.scheduler)
            .subscribe(::peerEvent)
            .also(work::add)
        watchPlatform()
        startTimers()
        val operatorServer = parts.operatorServer(NodeView(parts, ::stop)).start().also { operators = it }
        val callerServer = parts.callerServer().start().also { callers = it }
        val ports = NodePorts(callerServer.port(), operatorServer.port(), peerPort)
        Logger.info(
            "event=node_started vm={} zone={} incarnation={} callers={} operators={} peers={}",
            settings.vm.id,
            settings.vm.zone,
            incarnation,
            ports.callers,
            ports.operators,
            ports.peers,
        )
        return ports
    }

    /**
     * Stops without cutting off a request: takes no new work, says so in `/readyz`, finishes what runs, then closes.
     * Completes when nothing is left, or after `stop.graceMillis`.
     */
    public fun stop(): Mono<Void> {
        parts.loop.run("stop", ::beginStop)
        return stopped()
    }

    /** Completes once the node has stopped, whoever asked for it. */
    public fun stopped(): Mono<Void> = stopped.asMono().then()

    override fun close() {
        work.dispose()
        callers?.disposeNow(CLOSE_TIMEOUT)
        operators?.disposeNow(CLOSE_TIMEOUT)
        parts.close()
    }

    private fun beginStop() {
        if (stopping) return
        stopping = true
        parts.readiness.stopping = true
        parts.links.broadcast(Message.Stopping)
        Logger.info("event=stop_begun running={} grace_ms={}", parts.activeRequests(), settings.stop.graceMillis)
        val deadline = parts.loop.now() + settings.stop.graceMillis * NANOS_PER_MILLI
        parts.loop.after(settings.stop.announceMillis, "stop_admitting") {
            parts.stopAdmitting()
            work.add(parts.loop.every(STOP_CHECK_MILLIS, "stop_check") { endStop(deadline) })
        }
    }

    private fun endStop(deadline: Long) {
        val left = parts.activeRequests()
        if (left > 0 && parts.loop.now() < deadline) return
        Logger.info("event=stop_ended cut_off={}", left)
        stopped.tryEmitEmpty()
    }

    private fun watchPlatform() {
        work.add(parts.platform.watch(settings.platform.manifestKey).subscribe(::published))
        work.add(parts.platform.watchList().subscribe(::listed))
    }

    private fun listed(list: VmList): Unit = parts.loop.run("list") { fleet.adopt(list, PLATFORM) }

    private fun published(value: PublishedValue): Unit =
        parts.loop.run("manifest") { parts.manifests.offer(value.text, value.revision, PLATFORM) }

    private fun startTimers() {
        val loop = parts.loop
        work.add(loop.every(settings.peers.heartbeatMillis / 2, "fleet_tick", ::fleetTick))
        work.add(loop.every(OWNER_TICK_MILLIS, "owner_tick", parts.owners::tick))
        work.add(loop.every(REPORT_MILLIS, "report_poll", parts.owners::poll))
        work.add(loop.every(STATUS_MILLIS, "status") { shareStatuses() })
        work.add(loop.every(TOKEN_TICK_MILLIS, "tokens", parts.shares::tick))
    }

    private fun fleetTick() {
        fleet.tick()
        val engines = parts.owners.all().map { it.engineEntry().id }
        parts.links.send(parts.guard.passesDue(engines, parts.loop.now()))
        parts.links.send(parts.guard.retryConsentRequests(parts.loop.now()))
    }

    /** Tells what changed at once, and everything now and then for peers that missed it. */
    private fun shareStatuses() {
        val now = parts.loop.now()
        val statuses = parts.owners.statuses()
        statuses.forEach { parts.placement.updateStatus(it, now) }
        val all = now - statusesToldAt > FULL_STATUS_NANOS
        val due = if (all) statuses else statuses.filter { it != toldStatuses[it.server] }
        if (due.isEmpty()) return
        if (all) statusesToldAt = now
        due.forEach { toldStatuses[it.server] = it }
        parts.links.broadcast(Message.Engines(due))
    }

    private fun manifestChanged(manifest: Manifest) {
        parts.shares.updateStore(manifest.store)
        parts.owners.follow(manifest)
        fleet.pushManifest()
    }

    private fun listChanged(list: VmList) {
        parts.network.updatePeers(list)
        parts.shares.updateList(list)
    }

    private fun peerEvent(event: PeerEvent) {
        when (event) {
            is PeerEvent.Up -> peerChanged(event.peer, up = true)
            is PeerEvent.Down -> peerChanged(event.peer, up = false)
            is PeerEvent.Received -> dispatch(event.peer, event.message)
        }
    }

    private fun peerChanged(vm: VmId, up: Boolean) {
        Logger.info("event=link_{} peer={}", if (up) "up" else "down", vm)
        parts.owners.peerChanged(vm, up)
        parts.router.setStopping(vm, isStopping = false)
        if (up) return parts.entry.onPeerUp(vm)
        parts.membership.peerDisconnected(vm)
        parts.entry.onPeerDown(vm)
        parts.services.onPeerDown(vm)
    }

    private fun dispatch(from: VmId, message: Message) {
        when (message) {
            is Message.Safety -> fleet.receive(from, message.body)
            is Message.Engines -> learn(message)
            is Message.Stopping -> peerStopping(from)
            else -> dispatchCall(from, message)
        }
    }

    private fun learn(message: Message.Engines) {
        parts.readiness.ownerStatusReceived = true
        message.engines.forEach { parts.placement.updateStatus(it, parts.loop.now()) }
    }

    private fun peerStopping(vm: VmId) {
        Logger.info("event=peer_stopping peer={}", vm)
        parts.router.setStopping(vm, isStopping = true)
    }

    private fun dispatchCall(from: VmId, message: Message) {
        val taken =
            parts.owners.receive(from, message) ||
                parts.entry.receive(from, message) ||
                parts.services.receive(from, message) ||
                parts.home.receive(from, message) ||
                parts.shares.receive(from, message)
        if (!taken) Logger.warn("event=message_not_taken peer={} type={}", from, message.javaClass.simpleName)
    }

    private companion object {
        const val PLATFORM = "platform"
        const val NANOS_PER_MILLI = 1_000_000L
        const val OWNER_TICK_MILLIS = 100L
        const val REPORT_MILLIS = 250L
        const val STATUS_MILLIS = 200L
        const val FULL_STATUS_NANOS = 2_000_000_000L
        const val TOKEN_TICK_MILLIS = 20L
        const val STOP_CHECK_MILLIS = 50L
        val CLOSE_TIMEOUT: Duration = Duration.ofSeconds(2)
    }
}
