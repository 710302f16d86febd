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
import io.apricotslip.wire.link.Greeter
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
 * Links over Ktor sockets with frames of CBOR, as docs/PROTOCOL.md describes.
 *
 * A message longer than [LinkOptions.maxFrameBytes] is never sent: [send] logs it and answers [SendResult.FULL].
 *
 * @param self name of this node.
 * @param address IP number to listen on.
 * @param port port to listen on; 0 takes a free one.
 * @param build version of this build, told to peers for their logs.
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
    private class Followed(val vm: Vm, val job: Job)

    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default + CoroutineExceptionHandler(::report))
    private val selector = SelectorManager(Dispatchers.IO)
    private val inbox = Inbox(options.maxBufferedEvents)
    private val table = LinkTable(self, options.maxUnlistedLinks, inbox)
    private val greeter = Greeter(self, incarnation, build, options, ticker, table)
    private val followed = HashMap<VmId, Followed>()
    private val introductions = HashMap<VmId, Job>()

    override fun start(): Int {
        val server = runBlocking { aSocket(selector).tcp().bind(address, port) { reuseAddress = true } }
        val acceptor = Acceptor(server, scope, greeter, options.maxHandshakes)
        scope.launch { acceptor.run() }
        return (server.localAddress as InetSocketAddress).port
    }

    @Synchronized
    override fun updatePeers(list: VmList) {
        table.list(list.vms.map { it.id }.toSet())
        val wanted = list.vms.filter { it.id > self }.associateBy { it.id }
        followed.values.filter { !it.reaches(wanted[it.vm.id]) }.forEach(::unfollow)
        wanted.values.filter { it.id !in followed }.forEach(::dial)
    }

    @Synchronized
    override fun connectOnce(vm: Vm) {
        if (table[vm.id] != null || introductions[vm.id]?.isActive == true) return
        introductions[vm.id] = scope.launch { dialer(vm).once() }
    }

    override fun send(peer: VmId, message: Message): SendResult {
        val link = table[peer] ?: return SendResult.NO_LINK
        val content = FrameCodec.encode(Frame(message = message))
        if (content.size > options.maxFrameBytes) {
            Logger.warn { "event=message_too_long step=send peer=$peer bytes=${content.size}" }
            return SendResult.FULL
        }
        return link.offer(content)
    }

    override fun connectedPeers(): Set<VmId> = table.connectedPeers()

    override fun events(): Flux<PeerEvent> = inbox.events.asFlux()

    override fun close() {
        scope.cancel()
        inbox.close()
        selector.close()
    }

    private fun Followed.reaches(other: Vm?) = other != null && other.address == vm.address && other.port == vm.port

    private fun unfollow(entry: Followed) {
        table.close(entry.vm.id, "address changed")
        entry.job.cancel()
        followed.remove(entry.vm.id)
    }

    private fun dial(vm: Vm) {
        followed[vm.id] = Followed(vm, scope.launch { dialer(vm).run() })
    }

    private fun dialer(vm: Vm): Dialer {
        val backoff =
            Backoff(options.reconnectMillis, options.maxReconnectMillis, options.reconnectJitter, random)
        return Dialer(vm, selector, options.connectMillis, backoff, greeter)
    }

    private fun report(context: CoroutineContext, cause: Throwable) {
        Logger.error(cause) { "event=link_task_failed step=link peer=$self context=\"$context\"" }
    }
}
