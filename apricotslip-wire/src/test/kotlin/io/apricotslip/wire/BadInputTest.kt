package io.apricotslip.wire

import io.apricotslip.api.id.Incarnation
import io.apricotslip.api.id.VmId
import io.apricotslip.wire.frame.Frame
import io.apricotslip.wire.frame.FrameCodec
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/** What a node does with peers that break the protocol: it closes their link and serves the others. */
class BadInputTest {
    private val node = TestNode("b", options = LinkOptions(connectMillis = 500, maxFrameBytes = 10_000))
    private val garbage = ByteArray(64) { (it * 37).toByte() }
    private val ping = FrameCodec.encode(Frame.Ping)

    @AfterEach
    fun close() = node.close()

    private fun servesOn() = RawPeer(node.port).use {
        it.send(RawPeer.hello("good"))
        expectThat(node.next()).isEqualTo(PeerEvent.Up(VmId("good"), Incarnation(1)))
        it.send(Frame(message = Message.Stopping))
        expectThat(node.next()).isEqualTo(PeerEvent.Received(VmId("good"), Message.Stopping))
    }.also { expectThat(node.next()).isEqualTo(PeerEvent.Down(VmId("good"), "closed by the peer")) }

    @Nested
    inner class `before a hello` {
        @TestFactory
        fun `bad bytes are no link`(): List<DynamicTest> = listOf<Pair<String, (RawPeer) -> Unit>>(
            "nothing within the time limit" to { },
            "end of the connection" to { it.finish() },
            "garbage" to { it.send(garbage) },
            "garbage in a frame" to { it.send(RawPeer.framed(garbage)) },
            "a hello that is cut" to { peer ->
                peer.send(RawPeer.framed(FrameCodec.encode(RawPeer.hello("a"))).copyOf(20))
                peer.finish()
            },
            "a frame longer than a hello may be" to { it.send(RawPeer.framed(ByteArray(4_097))) },
            "a message" to { it.send(Frame(message = Message.Stopping)) },
            "a ping" to { it.send(Frame.Ping) },
            "wrong magic" to { it.send(RawPeer.hello("a", magic = "other")) },
            "an older protocol" to { it.send(RawPeer.hello("a", protocol = 0)) },
            "a newer protocol" to { it.send(RawPeer.hello("a", protocol = 1_000)) },
        ).map { (name, act) ->
            DynamicTest.dynamicTest(name) {
                RawPeer(node.port).use {
                    act(it)
                    expectThat(it.isClosedByNode()).isTrue()
                }
                servesOn()
            }
        }
    }

    @Nested
    inner class `after a hello` {
        @TestFactory
        fun `bad bytes close the link with the reason`(): List<DynamicTest> = listOf(
            Triple("garbage", RawPeer.framed(garbage), "undecodable frame of 64 bytes"),
            Triple("a frame too long", RawPeer.framed(ByteArray(10_001)), "frame of 10001 bytes, limit 10000"),
            Triple("a length of 0", ByteArray(4), "frame of 0 bytes"),
            Triple("a cut frame", RawPeer.framed(ByteArray(100)).copyOf(50), "frame cut after 46 of 100 bytes"),
            Triple("a second hello", RawPeer.framed(FrameCodec.encode(RawPeer.hello("a"))), "second hello"),
            Triple("the end after a ping", RawPeer.framed(ping), "closed by the peer"),
        ).map { (name, bytes, reason) ->
            DynamicTest.dynamicTest(name) {
                RawPeer(node.port).use {
                    it.send(RawPeer.hello("a"))
                    expectThat(node.next()).isEqualTo(PeerEvent.Up(VmId("a"), Incarnation(1)))
                    it.send(bytes)
                    it.finish()
                    val down = node.next() as PeerEvent.Down
                    expectThat(down.reason.startsWith(reason)).describedAs(down.reason).isTrue()
                    expectThat(it.isClosedByNode()).isTrue()
                }
                servesOn()
            }
        }
    }
}
