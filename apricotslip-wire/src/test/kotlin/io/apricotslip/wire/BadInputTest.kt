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

/** Guards against input that violates the protocol: the node closes that connection and keeps serving other peers. */
class BadInputTest {
    private val node = TestNode("b", options = LinkOptions(connectTimeoutMillis = 500, maxFrameBytes = 10_000))
    private val garbage = ByteArray(64) { (it * 37).toByte() }
    private val ping = FrameCodec.encode(Frame.Ping)

    @AfterEach
    fun close() = node.close()

    /** Expects that a new peer is accepted, its message received, and its link reported as down at the end. */
    private fun expectNewPeerServed() = RawPeer(node.port).use {
        it.send(RawPeer.hello("good"))
        expectThat(node.nextEvent()).isEqualTo(PeerEvent.Up(VmId("good"), Incarnation(1)))
        it.send(Frame(message = Message.Stopping))
        expectThat(node.nextEvent()).isEqualTo(PeerEvent.Received(VmId("good"), Message.Stopping))
    }.also { expectThat(node.nextEvent()).isEqualTo(PeerEvent.Down(VmId("good"), "closed by the peer")) }

    @Nested
    inner class `before the hello` {
        @TestFactory
        fun `invalid input opens no link`(): List<DynamicTest> = listOf<Pair<String, (RawPeer) -> Unit>>(
            "nothing within the timeout" to { },
            "end of the connection" to { it.shutdownOutput() },
            "garbage" to { it.send(garbage) },
            "garbage in a frame" to { it.send(RawPeer.frameBytes(garbage)) },
            "a truncated hello" to { peer ->
                peer.send(RawPeer.frameBytes(FrameCodec.encode(RawPeer.hello("a"))).copyOf(20))
                peer.shutdownOutput()
            },
            "a frame above the size limit of a hello" to { it.send(RawPeer.frameBytes(ByteArray(4_097))) },
            "a message" to { it.send(Frame(message = Message.Stopping)) },
            "a ping" to { it.send(Frame.Ping) },
            "wrong magic" to { it.send(RawPeer.hello("a", magic = "other")) },
            "an unsupported older protocol" to { it.send(RawPeer.hello("a", protocol = 0)) },
            "an unsupported newer protocol" to { it.send(RawPeer.hello("a", protocol = 1_000)) },
        ).map { (name, sendInput) ->
            DynamicTest.dynamicTest(name) {
                RawPeer(node.port).use {
                    sendInput(it)
                    expectThat(it.isClosedByNode()).isTrue()
                }
                expectNewPeerServed()
            }
        }
    }

    @Nested
    inner class `after the hello` {
        @TestFactory
        fun `invalid input closes the link and reports the reason`(): List<DynamicTest> = listOf(
            Triple("garbage", RawPeer.frameBytes(garbage), "undecodable frame of 64 bytes"),
            Triple(
                "a frame above the size limit",
                RawPeer.frameBytes(ByteArray(10_001)),
                "frame of 10001 bytes, limit 10000",
            ),
            Triple("a length of 0", ByteArray(4), "frame of 0 bytes"),
            Triple(
                "a truncated frame",
                RawPeer.frameBytes(ByteArray(100)).copyOf(50),
                "frame cut after 46 of 100 bytes",
            ),
            Triple("a second hello", RawPeer.frameBytes(FrameCodec.encode(RawPeer.hello("a"))), "second hello"),
            Triple("the end of the connection after a ping", RawPeer.frameBytes(ping), "closed by the peer"),
        ).map { (name, bytes, reason) ->
            DynamicTest.dynamicTest(name) {
                RawPeer(node.port).use {
                    it.send(RawPeer.hello("a"))
                    expectThat(node.nextEvent()).isEqualTo(PeerEvent.Up(VmId("a"), Incarnation(1)))
                    it.send(bytes)
                    it.shutdownOutput()
                    val down = node.nextEvent() as PeerEvent.Down
                    expectThat(down.reason.startsWith(reason)).describedAs(down.reason).isTrue()
                    expectThat(it.isClosedByNode()).isTrue()
                }
                expectNewPeerServed()
            }
        }
    }
}
