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
 * One serving node as a library. It accepts requests from callers (entry role) and gives orders to backend servers
 * (owner role). The daemon `apricotslip-node` is a thin `main` function around it.
 */
public class Node(private val settings: NodeSettings) : AutoCloseable {
    private val incarnation = Incarnation(System.currentTimeMillis())
    private val parts = NodeParts(settings, incarnation)
    private val fleet =
        FleetDispatcher(parts.loop, parts.links, parts.membership, parts.guard, parts.manifests, ::onVmListAdopted)
    private val subscriptions = Disposables.composite()
    private val stopped = Sinks.empty<Unit>()
    private var callerServer: DisposableServer? = null
    private var operatorServer: DisposableServer? = null
    private var stopping = false
    private val sentStatuses = HashMap<BackendServerId, EngineStatus>()
    private var allStatusesSentAt = 0L

    /** Starts the peer network, the timers and both HTTP servers; returns the ports that they are bound to. */
    public fun start(): NodePorts {
        parts.links.onLocalMessage(::dispatch)
        parts.manifests.onChange(::onManifestInForce)
        val peerPort = parts.network.start()
        parts.network
            .events()
            .publishOn(parts.loop.scheduler)
            .subscribe(::onPeerEvent)
            .also(subscriptions::add)
        watchPlatform()
        startTimers()
        val boundOperatorServer = parts.operatorServer(NodeView(parts, ::stop)).start().also { operatorServer = it }
        val boundCallerServer = parts.callerServer().start().also { callerServer = it }
        val ports = NodePorts(boundCallerServer.port(), boundOperatorServer.port(), peerPort)
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
     * Shuts down gracefully: reports not ready in `/readyz`, refuses new requests after `stop.announceMillis`, and
     * finishes the requests in progress. The returned [Mono] completes once none are left, or after
     * `stop.graceMillis`, which cuts off the remaining ones. Call [close] afterwards to release the resources.
     */
    public fun stop(): Mono<Void> {
        parts.loop.run("stop", ::beginStop)
        return stopped()
    }

    /** Completes once the node has stopped, whether through [stop] or the operators' API. */
    public fun stopped(): Mono<Void> = stopped.asMono().then()

    override fun close() {
        subscriptions.dispose()
        callerServer?.disposeNow(CLOSE_TIMEOUT)
        operatorServer?.disposeNow(CLOSE_TIMEOUT)
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
            subscriptions.add(parts.loop.every(STOP_CHECK_INTERVAL_MILLIS, "stop_check") { endStopIfDue(deadline) })
        }
    }

    private fun endStopIfDue(deadline: Long) {
        val remaining = parts.activeRequests()
        if (remaining > 0 && parts.loop.now() < deadline) return
        Logger.info("event=stop_ended cut_off={}", remaining)
        stopped.tryEmitEmpty()
    }

    private fun watchPlatform() {
        subscriptions.add(parts.platform.watch(settings.platform.manifestKey).subscribe(::onManifestPublished))
        subscriptions.add(parts.platform.watchList().subscribe(::onVmListPublished))
    }

    private fun onVmListPublished(list: VmList): Unit = parts.loop.run("list") { fleet.adopt(list, PLATFORM_SOURCE) }

    private fun onManifestPublished(value: PublishedValue): Unit =
        parts.loop.run("manifest") { parts.manifests.offer(value.text, value.revision, PLATFORM_SOURCE) }

    private fun startTimers() {
        val loop = parts.loop
        subscriptions.add(loop.every(settings.peers.heartbeatMillis / 2, "fleet_tick", ::fleetTick))
        subscriptions.add(loop.every(OWNER_TICK_INTERVAL_MILLIS, "owner_tick", parts.owners::tick))
        subscriptions.add(loop.every(REPORT_POLL_INTERVAL_MILLIS, "report_poll", parts.owners::pollReports))
        subscriptions.add(loop.every(STATUS_SHARE_INTERVAL_MILLIS, "status") { shareStatuses() })
        subscriptions.add(loop.every(TOKEN_TICK_INTERVAL_MILLIS, "tokens", parts.storeBudget::tick))
    }

    private fun fleetTick() {
        fleet.tick()
        val engines = parts.owners.all().map { it.engineEntry().id }
        parts.links.send(parts.guard.passesDue(engines, parts.loop.now()))
        parts.links.send(parts.guard.retryConsentRequests(parts.loop.now()))
    }

    /**
     * Broadcasts changed engine statuses, and all of them every [FULL_STATUS_INTERVAL_NANOS] for peers that missed an
     * update.
     */
    private fun shareStatuses() {
        val now = parts.loop.now()
        val statuses = parts.owners.statuses()
        statuses.forEach { parts.placement.updateStatus(it, now) }
        val sendAll = now - allStatusesSentAt > FULL_STATUS_INTERVAL_NANOS
        val due = if (sendAll) statuses else statuses.filter { it != sentStatuses[it.server] }
        if (due.isEmpty()) return
        if (sendAll) allStatusesSentAt = now
        due.forEach { sentStatuses[it.server] = it }
        parts.links.broadcast(Message.Engines(due))
    }

    private fun onManifestInForce(manifest: Manifest) {
        parts.storeBudget.updateStore(manifest.store)
        parts.owners.applyManifest(manifest)
        fleet.pushManifest()
    }

    private fun onVmListAdopted(list: VmList) {
        parts.network.updatePeers(list)
        parts.storeBudget.updateList(list)
    }

    private fun onPeerEvent(event: PeerEvent) {
        when (event) {
            is PeerEvent.Up -> peerLinkChanged(event.peer, up = true)
            is PeerEvent.Down -> peerLinkChanged(event.peer, up = false)
            is PeerEvent.Received -> dispatch(event.peer, event.message)
        }
    }

    private fun peerLinkChanged(vm: VmId, up: Boolean) {
        Logger.info("event=link_{} peer={}", if (up) "up" else "down", vm)
        parts.owners.peerLinkChanged(vm, up)
        parts.router.setStopping(vm, isStopping = false)
        if (up) return parts.entry.onPeerUp(vm)
        parts.membership.peerDisconnected(vm)
        parts.entry.onPeerDown(vm)
        parts.services.onPeerDown(vm)
    }

    private fun dispatch(from: VmId, message: Message) {
        when (message) {
            is Message.Safety -> fleet.receive(from, message.body)
            is Message.Engines -> recordStatuses(message)
            is Message.Stopping -> peerStopping(from)
            else -> dispatchRequestMessage(from, message)
        }
    }

    private fun recordStatuses(message: Message.Engines) {
        parts.readiness.ownerStatusReceived = true
        message.engines.forEach { parts.placement.updateStatus(it, parts.loop.now()) }
    }

    private fun peerStopping(vm: VmId) {
        Logger.info("event=peer_stopping peer={}", vm)
        parts.router.setStopping(vm, isStopping = true)
    }

    private fun dispatchRequestMessage(from: VmId, message: Message) {
        val handled =
            parts.owners.receive(from, message) ||
                parts.entry.receive(from, message) ||
                parts.services.receive(from, message) ||
                parts.home.receive(from, message) ||
                parts.storeBudget.receive(from, message)
        if (!handled) Logger.warn("event=message_not_taken peer={} type={}", from, message.javaClass.simpleName)
    }

    private companion object {
        const val PLATFORM_SOURCE = "platform"
        const val NANOS_PER_MILLI = 1_000_000L
        const val OWNER_TICK_INTERVAL_MILLIS = 100L
        const val REPORT_POLL_INTERVAL_MILLIS = 250L
        const val STATUS_SHARE_INTERVAL_MILLIS = 200L
        const val FULL_STATUS_INTERVAL_NANOS = 2_000_000_000L
        const val TOKEN_TICK_INTERVAL_MILLIS = 20L
        const val STOP_CHECK_INTERVAL_MILLIS = 50L
        val CLOSE_TIMEOUT: Duration = Duration.ofSeconds(2)
    }
}
