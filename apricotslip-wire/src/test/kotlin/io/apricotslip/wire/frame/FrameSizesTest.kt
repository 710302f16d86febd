package io.apricotslip.wire.frame

import io.apricotslip.wire.Message
import io.apricotslip.wire.Messages
import io.apricotslip.wire.RawPeer
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan
import kotlin.random.Random

/** Bytes per frame on the wire, length included; docs/PROTOCOL.md holds the table that this prints. */
class FrameSizesTest {
    private val sizes = Messages(Random(1), typical = true).all().map { name(it) to size(Frame(message = it)) }

    private fun size(frame: Frame) = Int.SIZE_BYTES + FrameCodec.encode(frame).size

    private fun name(message: Message): String = when (message) {
        is Message.Safety -> message.body::class.java.simpleName
        is Message.Fleet -> message.body::class.java.simpleName
        else -> message::class.java.simpleName
    }

    @Test
    fun `the table of sizes is printed`() {
        val all = listOf("Hello" to size(RawPeer.hello("node-1")), "ping" to size(Frame.Ping)) + sizes
        println(all.joinToString("\n", prefix = "| frame | bytes |\n|---|---|\n") { (name, n) -> "| $name | $n |" })
        expectThat(size(Frame.Ping)).isLessThan(8)
    }

    @Test
    fun `heartbeats and pings with 10 peers stay below the bytes that a node has for control`() {
        val bytes = sizes.toMap()
        val perPeer = bytes.getValue("Heartbeat") + bytes.getValue("HeartbeatAck") + size(Frame.Ping)
        expectThat(10 * HEARTBEATS_PER_SECOND * perPeer).isLessThan(CONTROL_BYTES_PER_SECOND)
    }

    private companion object {
        const val HEARTBEATS_PER_SECOND = 2
        const val CONTROL_BYTES_PER_SECOND = 13_000
    }
}
