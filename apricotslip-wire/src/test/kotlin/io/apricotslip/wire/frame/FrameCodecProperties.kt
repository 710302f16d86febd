package io.apricotslip.wire.frame

import io.apricotslip.wire.Message
import io.apricotslip.wire.MessageGenerator
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import kotlin.random.Random

/** Round trips of all messages; corrupt or hostile bytes must end in a frame or a [FrameException]. */
class FrameCodecProperties {
    private fun frames(seed: Long) = MessageGenerator(Random(seed)).all().map { Frame(message = it) }

    @Property(seed = "1", tries = 300)
    fun `every message survives a round trip unchanged`(@ForAll seed: Long) {
        frames(seed).forEach { frame ->
            val decoded = FrameCodec.decode(FrameCodec.encode(frame))
            expectThat(decoded).isEqualTo(frame)
            expectThat(FrameCodec.encode(decoded).toList()).isEqualTo(FrameCodec.encode(frame).toList())
        }
    }

    @Property(seed = "2", tries = 2_000)
    fun `arbitrary bytes decode to a frame or throw FrameException`(@ForAll @Size(max = 200) bytes: ByteArray) {
        decodeOrNull(bytes)
    }

    @Property(seed = "3", tries = 500)
    fun `a corrupted message decodes to a frame or throws FrameException`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 1, max = 8) damagedBytes: Int,
    ) {
        val random = Random(seed)
        frames(seed).forEach { frame ->
            val bytes = FrameCodec.encode(frame)
            repeat(damagedBytes) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
            decodeOrNull(bytes)
            decodeOrNull(bytes.copyOf(random.nextInt(bytes.size)))
        }
    }

    @Test
    fun `the generated messages cover every kind`() {
        val kinds = MessageGenerator(Random(0)).all().map { it::class.java }.distinct()
        expectThat(kinds).containsExactlyInAnyOrder(*Message::class.java.permittedSubclasses)
    }

    @Test
    fun `fields added by a newer build are skipped`() {
        val newer = bytes(0xA2, 0x61, 'z'.code, 0x82, 1, 2, 0x61, 'h'.code, 0xF6)
        expectThat(FrameCodec.decode(newer)).isEqualTo(Frame.Ping)
    }

    @Test
    fun `deep nesting in an unknown field is skipped or throws FrameException`() {
        val depth = 1_000_000
        val bytes = bytes(0xA1, 0x61, 'z'.code) + ByteArray(depth) { 0x81.toByte() } + 0
        decodeOrNull(bytes)
    }

    @Test
    fun `a list that declares two billion elements throws FrameException`() {
        val list = bytes(0xA1, 0x61, 't'.code, 0x9A, 0x7F, 0xFF, 0xFF, 0xFF)
        val message = bytes(0xA1, 0x61, 'm'.code, 0x82, 0x62, 'g'.code, 'c'.code)
        expectThat(decodeOrNull(message + list)).isEqualTo(null)
    }

    private fun bytes(vararg values: Int) = ByteArray(values.size) { values[it].toByte() }

    private fun decodeOrNull(bytes: ByteArray): Frame? = try {
        FrameCodec.decode(bytes)
    } catch (e: FrameException) {
        null
    }
}
