package io.apricotslip.wire.frame

import io.apricotslip.wire.Message
import io.apricotslip.wire.MessageGenerator
import io.apricotslip.wire.RawPeer
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan
import kotlin.random.Random

/** Sizes of frames on the wire, including the length prefix. docs/PROTOCOL.md contains the table that this prints. */
class FrameSizesTest {
    private val sizes =
        MessageGenerator(Random(1), typicalSizes = true).all().map { name(it) to size(Frame(message = it)) }

    private fun size(frame: Frame) = Int.SIZE_BYTES + FrameCodec.encode(frame).size

    private fun name(message: Message): String = when (message) {
        is Message.Safety -> message.body::class.java.simpleName
        is Message.Fleet -> message.body::class.java.simpleName
        else -> message::class.java.simpleName
    }

    @Test
    fun `prints the size of each frame, and a ping takes less than 8 bytes`() {
        val all = listOf("Hello" to size(RawPeer.hello("node-1")), "ping" to size(Frame.Ping)) + sizes
        println(all.joinToString("\n", prefix = "| frame | bytes |\n|---|---|\n") { (name, n) -> "| $name | $n |" })
        expectThat(size(Frame.Ping)).isLessThan(8)
    }

    @Test
    fun `heartbeats and pings with 10 peers stay within the control traffic budget of a node`() {
        val bytes = sizes.toMap()
        val perPeer = bytes.getValue("Heartbeat") + bytes.getValue("HeartbeatAck") + size(Frame.Ping)
        expectThat(10 * HEARTBEATS_PER_SECOND * perPeer).isLessThan(MAX_CONTROL_BYTES_PER_SECOND)
    }

    private companion object {
        const val HEARTBEATS_PER_SECOND = 2
        const val MAX_CONTROL_BYTES_PER_SECOND = 13_000
    }
}
