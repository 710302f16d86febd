package io.apricotslip.wire

import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VmId
import io.apricotslip.wire.frame.Frame
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import strikt.assertions.startsWith

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class KtorPeerNetworkTest {
    private val open = mutableListOf<AutoCloseable>()

    private fun <T : AutoCloseable> T.kept(): T = also { open += it }

    private fun node(name: String, options: LinkOptions = LinkOptions(), demand: Long = Long.MAX_VALUE) =
        TestNode(name, options = options, demand = demand).kept()

    private fun peer(node: TestNode, hello: Frame): RawPeer = RawPeer(node.port).kept().apply {
        send(hello)
        expectThat(receive().hello).isNotNull().get { vm }.isEqualTo(node.id)
    }

    private fun message(n: Int, size: Int = 1) = Message.GenerateChunk(RequestId("r"), n, listOf("x".repeat(size)))

    @AfterEach
    fun closeAll() = open.forEach { it.close() }

    @Nested
    inner class `two nodes that follow each other` {
        private val a = node("a")
        private val b = node("b")

        init {
            val list = TestNode.listOf(a.vm(), b.vm())
            a.network.updatePeers(list)
            b.network.updatePeers(list)
            expectThat(a.next()).isEqualTo(PeerEvent.Up(b.id, Incarnation(1)))
            expectThat(b.next()).isEqualTo(PeerEvent.Up(a.id, Incarnation(1)))
        }

        @Test
        fun `exchange messages in order`() {
            val sent = (0 until 1_000).map { message(it) }
            sent.forEach { expectThat(b.network.send(a.id, it)).isEqualTo(SendResult.QUEUED) }
            expectThat(sent.map { a.next() }).containsExactly(sent.map { PeerEvent.Received(b.id, it) })
        }

        @Test
        fun `see the link down when one stops, and no message leaves after that`() {
            b.close()
            expectThat(a.next()).isA<PeerEvent.Down>().get { peer }.isEqualTo(b.id)
            expectThat(a.network.send(b.id, message(0))).isEqualTo(SendResult.NO_LINK)
            expectThat(a.network.connectedPeers()).isEqualTo(emptySet())
        }

        @Test
        fun `close the link when one is no longer listed`() {
            a.network.updatePeers(TestNode.listOf(a.vm()))
            expectThat(a.next()).isEqualTo(PeerEvent.Down(b.id, "no longer listed"))
            expectThat(b.next()).isA<PeerEvent.Down>().get { peer }.isEqualTo(a.id)
        }

        @Test
        fun `open the link again when a VM is replaced at another port`() {
            val replaced = TestNode("b", incarnation = 2).kept()
            a.network.updatePeers(TestNode.listOf(a.vm(), replaced.vm()))
            expectThat(a.next()).isEqualTo(PeerEvent.Down(b.id, "address changed"))
            expectThat(a.next()).isEqualTo(PeerEvent.Up(b.id, Incarnation(2)))
        }
    }

    @Nested
    inner class `a link that went silent while new connections work` {
        @Test
        fun `is closed at both ends and opened again`() {
            val options = LinkOptions(heartbeatMillis = 20, silentMillis = 200, reconnectMillis = 20)
            val a = node("a", options)
            val b = node("b", options)
            val relay = SilentRelay(b.port).kept()
            val list = TestNode.listOf(a.vm(), b.vm(relay.port))
            listOf(a, b).forEach { it.network.updatePeers(list) }
            repeat(2) {
                listOf(a to b, b to a).forEach { (here, there) ->
                    expectThat(here.next()).isEqualTo(PeerEvent.Up(there.id, Incarnation(1)))
                }
                relay.silence()
                expectThat(a.next()).isEqualTo(PeerEvent.Down(b.id, "silent for 200 ms"))
                expectThat(b.next()).isA<PeerEvent.Down>().get { peer }.isEqualTo(a.id)
            }
        }
    }

    @Nested
    inner class `two links of one peer` {
        @Test
        fun `the newer hello wins and the old link is told as down first`() {
            val b = node("b")
            peer(b, RawPeer.hello("a", incarnation = 1, link = 5))
            expectThat(b.next()).isEqualTo(PeerEvent.Up(VmId("a"), Incarnation(1)))
            peer(b, RawPeer.hello("a", incarnation = 2, link = 1)).send(Frame(message = message(0)))
            expectThat(b.next()).isEqualTo(PeerEvent.Down(VmId("a"), "replaced by a newer link"))
            expectThat(b.next()).isEqualTo(PeerEvent.Up(VmId("a"), Incarnation(2)))
            expectThat(b.next()).isEqualTo(PeerEvent.Received(VmId("a"), message(0)))
        }

        @Test
        fun `a hello that arrives late is refused`() {
            val b = node("b")
            val newer = peer(b, RawPeer.hello("a", link = 5))
            expectThat(b.next()).isEqualTo(PeerEvent.Up(VmId("a"), Incarnation(1)))
            val older = peer(b, RawPeer.hello("a", link = 4))
            expectThat(older.isClosedByNode()).isTrue()
            newer.send(Frame(message = message(0)))
            expectThat(b.next()).isEqualTo(PeerEvent.Received(VmId("a"), message(0)))
        }
    }

    @Nested
    inner class `peers that are not listed` {
        @Test
        fun `are accepted up to their bound, listed ones beyond it`() {
            val z = node("z", LinkOptions(maxUnlistedLinks = 2))
            z.network.updatePeers(TestNode.listOf(z.vm(), TestNode("a").kept().vm()))
            listOf("x", "y").forEach {
                peer(z, RawPeer.hello(it))
                expectThat(z.next()).isEqualTo(PeerEvent.Up(VmId(it), Incarnation(1)))
            }
            expectThat(peer(z, RawPeer.hello("w")).isClosedByNode()).isTrue()
            peer(z, RawPeer.hello("a"))
            expectThat(z.next()).isEqualTo(PeerEvent.Up(VmId("a"), Incarnation(1)))
        }

        @Test
        fun `are refused under the name of the node itself`() {
            val z = node("z")
            expectThat(peer(z, RawPeer.hello("z")).isClosedByNode()).isTrue()
            expectThat(z.nothing()).isTrue()
        }
    }

    @Nested
    inner class `memory is bounded` {
        @Test
        fun `sending to a peer that does not read ends in FULL and never blocks`() {
            val options = LinkOptions(maxQueuedBytes = 1_000_000, silentMillis = 600_000)
            val b = node("b", options)
            peer(b, RawPeer.hello("a"))
            expectThat(b.next()).isA<PeerEvent.Up>()
            var accepted = 0L
            while (b.network.send(VmId("a"), message(0, size = 10_000)) == SendResult.QUEUED) accepted += 10_000
            expectThat(accepted).isLessThan(64_000_000)
        }

        @Test
        fun `a peer that neither reads nor sends is cut off although the node still wants to write`() {
            val b = node("b", LinkOptions(maxQueuedBytes = 1_000_000, silentMillis = 300, heartbeatMillis = 20))
            val a = peer(b, RawPeer.hello("a"))
            expectThat(b.next()).isA<PeerEvent.Up>()
            while (b.network.send(VmId("a"), message(0, size = 10_000)) == SendResult.QUEUED) Unit
            expectThat(b.next()).isEqualTo(PeerEvent.Down(VmId("a"), "silent for 300 ms"))
            val other = TestNode("c", options = LinkOptions(heartbeatMillis = 20)).kept()
            b.network.updatePeers(TestNode.listOf(b.vm(), other.vm()))
            expectThat(a.isRefusedByNode()).isTrue()
        }

        @Test
        fun `a message longer than a frame is not sent`() {
            val b = node("b", LinkOptions(maxFrameBytes = 1_000))
            peer(b, RawPeer.hello("a"))
            expectThat(b.next()).isA<PeerEvent.Up>()
            expectThat(b.network.send(VmId("a"), message(0, size = 1_000))).isEqualTo(SendResult.FULL)
        }

        @Test
        fun `a subscriber that asks for nothing stops the sender, and loses nothing later`() {
            val options = LinkOptions(
                heartbeatMillis = 20,
                silentMillis = 600_000,
                maxQueuedBytes = 1_000_000,
                maxInboundBytes = 100_000,
            )
            val a = node("a", options, demand = 1)
            val b = node("b", options)
            listOf(a, b).forEach { it.network.updatePeers(TestNode.listOf(a.vm(), b.vm())) }
            expectThat(a.next()).isA<PeerEvent.Up>()
            expectThat(b.next()).isA<PeerEvent.Up>()
            val sent = generateSequence(0) { it + 1 }.map { message(it, size = 10_000) }
                .takeWhile { b.network.send(a.id, it) == SendResult.QUEUED }.toList()
            expectThat(a.nothing()).isTrue()
            a.request(Long.MAX_VALUE)
            expectThat(sent.map { a.next() }).containsExactly(sent.map { PeerEvent.Received(b.id, it) })
        }
    }

    @Test
    fun `closing completes the events and closes the links`() {
        val b = TestNode("b").kept()
        val a = peer(b, RawPeer.hello("a"))
        expectThat(b.next()).isA<PeerEvent.Up>()
        b.close()
        expectThat(a.isClosedByNode()).isTrue()
        b.awaitCompletion()
    }

    @Test
    fun `a peer that answers under another name is not taken`() {
        val c = node("c")
        val a = node("a")
        a.network.updatePeers(TestNode.listOf(a.vm(), c.vm().copy(id = VmId("b"))))
        expectThat(c.next()).isEqualTo(PeerEvent.Up(a.id, Incarnation(1)))
        expectThat(c.next()).isA<PeerEvent.Down>().get { reason }.startsWith("closed by the peer")
        expectThat(a.nothing()).isTrue()
    }
}
