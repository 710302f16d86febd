package io.apricotslip.gateway.peer

import io.apricotslip.api.fleet.Vm
import io.apricotslip.api.fleet.VmList
import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.serving.member.FleetExchange
import io.apricotslip.serving.member.FleetExchange.Links
import io.apricotslip.wire.Message
import io.apricotslip.wire.PeerEvent
import io.apricotslip.wire.PeerNetwork
import io.apricotslip.wire.SendResult
import io.netty.channel.DefaultEventLoop
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import reactor.core.publisher.Flux
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

/**
 * Guards against two nodes of which one closes the link that the other one needs, and reopens, again and again, and
 * against a silent link over which claims lapse (ONE).
 */
class PeerLinksTest {
    private val other = VmId("10.0.0.2")
    private val none = Links(emptySet(), emptySet())
    private val wanted = Links(emptySet(), setOf(other))
    private val loop = DefaultEventLoop()

    /** Links that come up as soon as they are opened. */
    private class Network : PeerNetwork {
        val connected = HashSet<VmId>()
        var opened = 0
        var closed = 0

        override fun start() = 0

        override fun updatePeers(list: VmList) = Unit

        override fun connectOnce(vm: Vm) {
            if (connected.add(vm.id)) opened++
        }

        override fun send(peer: VmId, message: Message) = SendResult.NO_LINK

        override fun sendAll(peers: Collection<VmId>, message: Message) = Unit

        override fun disconnect(peer: VmId, reason: String) {
            if (connected.remove(peer)) closed++
        }

        override fun isConnected(peer: VmId) = peer in connected

        override fun connectedPeers() = HashSet(connected)

        override fun events(): Flux<PeerEvent> = Flux.never()

        override fun close() = Unit
    }

    /** What a node wants in each of 60 steps of 150 ms, and what becomes of its link to [other]. */
    private class Case(
        val name: String,
        val wants: (step: Int) -> Links,
        val opened: Int,
        val closed: Int,
        val accepted: Boolean = false,
    )

    private val cases = listOf(
        Case("a link that is wanted and carries nothing stays", { wanted }, opened = 1, closed = 0),
        Case("a link that is not wanted any more is closed once", { if (it < 5) wanted else none }, 1, 1),
        Case("a link that the other one has opened stays", { none }, opened = 0, closed = 0, accepted = true),
        Case("a link that is wanted again later stays", { if (it in 5..20) none else wanted }, opened = 1, closed = 0),
        Case("nothing is wanted", { none }, opened = 0, closed = 0),
    )

    @TestFactory
    fun `links are opened when they are wanted and closed by those who opened them`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val network = Network()
            var now = 0L
            val links = PeerLinks(network, loop, ZoneId("z"), 1, { now }) { _, _ -> }
            if (case.accepted) network.connected.add(other)
            for (step in 0 until 60) {
                now = step * 150L
                links.update(case.wants(step))
            }
            expectThat(network.opened).describedAs("opened").isEqualTo(case.opened)
            expectThat(network.closed).describedAs("closed").isEqualTo(case.closed)
        }
    }

    @Test
    fun `the times of links leave room to replace a silent one and to report before claims lapse`() {
        val options = PeerLinks.LINK_OPTIONS
        val reopened = options.silentMillis + (options.reconnectMillis * (1 + options.reconnectJitter)).toLong()
        expectThat(reopened + 2 * FleetExchange.INTERVAL_MILLIS).isLessThan(LEASE_MILLIS)
        expectThat(options.silentMillis).isGreaterThan(3 * options.heartbeatMillis)
    }

    @AfterEach
    fun stop() {
        loop.shutdownGracefully()
    }

    private companion object {
        /** `leaseMs` of the deployments. */
        const val LEASE_MILLIS = 3_000L
    }
}
