package io.apricotslip.wire

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.ListRevision
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

class KtorPeerNetworkTest {
    private val nodes = mutableListOf<TestNode>()

    private class TestNode(name: String, incarnation: Long = 1, options: LinkOptions = LinkOptions()) {
        val id = VmId(name)
        val network = KtorPeerNetwork(id, Incarnation(incarnation), "127.0.0.1", 0, options)
        val port = network.start()
        val events = LinkedBlockingQueue<PeerEvent>()
        val subscription = network.events().subscribe(events::add)

        fun vm() = Vm(id, ZoneId("z"), "127.0.0.1", port)

        fun next(): PeerEvent = checkNotNull(events.poll(20, TimeUnit.SECONDS)) { "no event at $id" }
    }

    private fun node(name: String) = TestNode(name).also { nodes += it }

    private fun list(vararg vms: TestNode) = VmList(ListRevision(1), vms.map { it.vm() })

    @AfterEach
    fun close() = nodes.forEach { it.network.close() }

    @Test
    fun `two nodes exchange messages in order`() {
        val a = node("a")
        val b = node("b")
        a.network.follow(list(a, b))
        b.network.follow(list(a, b))
        expectThat(a.next()).isEqualTo(PeerEvent.Up(b.id, Incarnation(1)))
        expectThat(b.next()).isEqualTo(PeerEvent.Up(a.id, Incarnation(1)))
        val sent = (0 until 100).map { Message.GenerateCancel(RequestId("r$it")) }
        sent.forEach { expectThat(b.network.send(a.id, it)).isEqualTo(SendResult.QUEUED) }
        expectThat(sent.map { a.next() }).containsExactly(sent.map { PeerEvent.Received(b.id, it) })
        b.network.close()
        expectThat(a.next()).isEqualTo(PeerEvent.Down(b.id, "closed by the peer"))
        expectThat(a.network.send(b.id, sent[0])).isEqualTo(SendResult.NO_LINK)
    }
}
