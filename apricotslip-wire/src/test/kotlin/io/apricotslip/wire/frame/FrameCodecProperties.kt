package io.apricotslip.wire.frame

import io.apricotslip.wire.Message
import io.apricotslip.wire.Messages
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import kotlin.random.Random

class FrameCodecProperties {
    private fun frames(seed: Long) = Messages(Random(seed)).all().map { Frame(message = it) }

    @Property(seed = "1", tries = 300)
    fun `every message is the same after a round trip`(@ForAll seed: Long) {
        frames(seed).forEach { frame ->
            val again = FrameCodec.decode(FrameCodec.encode(frame))
            expectThat(again).isEqualTo(frame)
            expectThat(FrameCodec.encode(again).toList()).isEqualTo(FrameCodec.encode(frame).toList())
        }
    }

    @Property(seed = "2", tries = 2_000)
    fun `any bytes are a frame or a FrameException`(@ForAll @Size(max = 200) bytes: ByteArray) {
        decodeOrRefuse(bytes)
    }

    @Property(seed = "3", tries = 500)
    fun `a damaged frame is a frame or a FrameException`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 1, max = 8) damages: Int,
    ) {
        val random = Random(seed)
        frames(seed).forEach { frame ->
            val bytes = FrameCodec.encode(frame)
            repeat(damages) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
            decodeOrRefuse(bytes)
            decodeOrRefuse(bytes.copyOf(random.nextInt(bytes.size)))
        }
    }

    @Test
    fun `the messages cover every kind`() {
        val kinds = Messages(Random(0)).all().map { it::class.java }.distinct()
        expectThat(kinds).containsExactlyInAnyOrder(*Message::class.java.permittedSubclasses)
    }

    @Test
    fun `fields that a newer build added are skipped`() {
        val newer = bytes(0xA2, 0x61, 'z'.code, 0x82, 1, 2, 0x61, 'h'.code, 0xF6)
        expectThat(FrameCodec.decode(newer)).isEqualTo(Frame.Ping)
    }

    @Test
    fun `deep nesting in a skipped field is a FrameException or skipped`() {
        val depth = 1_000_000
        val bytes = bytes(0xA1, 0x61, 'z'.code) + ByteArray(depth) { 0x81.toByte() } + 0
        decodeOrRefuse(bytes)
    }

    @Test
    fun `a list that claims two thousand million elements is a FrameException`() {
        val list = bytes(0xA1, 0x61, 't'.code, 0x9A, 0x7F, 0xFF, 0xFF, 0xFF)
        val message = bytes(0xA1, 0x61, 'm'.code, 0x82, 0x62, 'g'.code, 'c'.code)
        expectThat(decodeOrRefuse(message + list)).isEqualTo(null)
    }

    private fun bytes(vararg values: Int) = ByteArray(values.size) { values[it].toByte() }

    private fun decodeOrRefuse(bytes: ByteArray): Frame? = try {
        FrameCodec.decode(bytes)
    } catch (e: FrameException) {
        null
    }
}
