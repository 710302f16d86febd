package io.apricotslip.wire

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.VmId
import io.apricotslip.api.time.Ticker
import io.apricotslip.wire.frame.Frame
import io.apricotslip.wire.frame.FrameCodec
import io.apricotslip.wire.link.Acceptor
import io.apricotslip.wire.link.Backoff
import io.apricotslip.wire.link.Dialer
import io.apricotslip.wire.link.Handshaker
import io.apricotslip.wire.link.Inbox
import io.apricotslip.wire.link.LinkTable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.reactor.asFlux
import kotlinx.coroutines.runBlocking
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Flux
import kotlin.coroutines.CoroutineContext
import kotlin.random.Random

/**
 * [PeerNetwork] over Ktor TCP sockets. Frames are encoded as CBOR; docs/PROTOCOL.md specifies the protocol.
 *
 * A message longer than [LinkOptions.maxFrameBytes] is never sent: [send] logs it and returns [SendResult.FULL].
 *
 * @param self name of this node.
 * @param incarnation incarnation of this node, sent to peers in the hello.
 * @param address IP address to listen on.
 * @param port port to listen on; 0 selects a free port.
 * @param build version of this build, sent to peers for their logs.
 * @param random source of the reconnect jitter.
 */
public class KtorPeerNetwork(
    private val self: VmId,
    incarnation: Incarnation,
    private val address: String,
    private val port: Int,
    private val options: LinkOptions = LinkOptions(),
    build: String = "unknown",
    ticker: Ticker = Ticker.System,
    private val random: Random = Random.Default,
) : PeerNetwork {
    /** A peer to which [job] keeps a link open. */
    private class DialedPeer(val vm: Vm, val job: Job)

    private val scope =
        CoroutineScope(SupervisorJob() + Dispatchers.Default + CoroutineExceptionHandler(::logTaskFailure))
    private val selector = SelectorManager(Dispatchers.IO)
    private val inbox = Inbox(options.maxBufferedEvents)
    private val links = LinkTable(self, options.maxUnlistedLinks, inbox)
    private val handshaker = Handshaker(self, incarnation, build, options, ticker, links)
    private val dialedPeers = HashMap<VmId, DialedPeer>()
    private val oneTimeDials = HashMap<VmId, Job>()

    override fun start(): Int {
        val server = runBlocking { aSocket(selector).tcp().bind(address, port) { reuseAddress = true } }
        val acceptor = Acceptor(server, scope, handshaker, options.maxHandshakes)
        scope.launch { acceptor.run() }
        return (server.localAddress as InetSocketAddress).port
    }

    @Synchronized
    override fun updatePeers(list: VmList) {
        links.setListedPeers(list.vms.map { it.id }.toSet())
        val peersToDial = list.vms.filter { it.id > self }.associateBy { it.id }
        dialedPeers.values.filter { !it.hasAddressOf(peersToDial[it.vm.id]) }.forEach(::stopDialing)
        peersToDial.values.filter { it.id !in dialedPeers }.forEach(::startDialing)
    }

    @Synchronized
    override fun connectOnce(vm: Vm) {
        if (links[vm.id] != null || oneTimeDials[vm.id]?.isActive == true) return
        oneTimeDials[vm.id] = scope.launch { newDialer(vm).connectOnce() }
    }

    override fun send(peer: VmId, message: Message): SendResult {
        val link = links[peer] ?: return SendResult.NO_LINK
        val content = encode(message) ?: return SendResult.FULL
        return link.offer(content)
    }

    override fun sendAll(peers: Collection<VmId>, message: Message) {
        val connected = peers.mapNotNull { links[it] }
        if (connected.isEmpty()) return
        val content = encode(message) ?: return
        connected.forEach { it.offer(content) }
    }

    override fun disconnect(peer: VmId, reason: String): Unit = links.close(peer, reason)

    override fun isConnected(peer: VmId): Boolean = links[peer] != null

    /** Encodes [message]; logs and returns null when it is too long. */
    private fun encode(message: Message): ByteArray? {
        val content = FrameCodec.encode(Frame(message = message))
        if (content.size <= options.maxFrameBytes) return content
        Logger.warn { "event=message_too_long step=send bytes=${content.size}" }
        return null
    }

    override fun connectedPeers(): Set<VmId> = links.connectedPeers()

    override fun events(): Flux<PeerEvent> = inbox.events.asFlux()

    override fun close() {
        scope.cancel()
        inbox.close()
        selector.close()
    }

    private fun DialedPeer.hasAddressOf(other: Vm?) =
        other != null && other.address == vm.address && other.port == vm.port

    private fun stopDialing(peer: DialedPeer) {
        links.close(peer.vm.id, "address changed")
        peer.job.cancel()
        dialedPeers.remove(peer.vm.id)
    }

    private fun startDialing(vm: Vm) {
        dialedPeers[vm.id] = DialedPeer(vm, scope.launch { newDialer(vm).run() })
    }

    private fun newDialer(vm: Vm): Dialer {
        val backoff =
            Backoff(options.reconnectMillis, options.maxReconnectMillis, options.reconnectJitter, random)
        return Dialer(vm, selector, options.connectTimeoutMillis, backoff, handshaker)
    }

    private fun logTaskFailure(context: CoroutineContext, cause: Throwable) {
        Logger.error(cause) { "event=link_task_failed step=link peer=$self context=\"$context\"" }
    }
}
