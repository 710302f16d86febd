package io.apricotslip.wire.frame

import io.apricotslip.wire.RawPeer
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isNotNull
import strikt.assertions.isNull

/** Truncated, oversized and undecodable frames must fail with a [FrameException] that names the reason. */
class FrameReaderTest {
    private val hello = FrameCodec.encode(RawPeer.hello("a"))

    private fun read(bytes: ByteArray, limit: Int = 1_000): Frame? =
        runBlocking { FrameReader(ByteReadChannel(bytes)).read(limit) }

    private fun bytes(vararg values: Int) = ByteArray(values.size) { values[it].toByte() }

    @TestFactory
    fun `invalid input throws FrameException with the reason`(): List<DynamicTest> = listOf(
        Triple("truncated length", bytes(0, 0), "cut"),
        Triple("truncated content", RawPeer.frameBytes(hello).dropLast(1).toByteArray(), "cut after ${hello.size - 1}"),
        Triple("length 0", bytes(0, 0, 0, 0), "frame of 0 bytes"),
        Triple("negative length", bytes(255, 255, 255, 255), "frame of -1 bytes"),
        Triple("longer than the limit", bytes(0, 0, 3, 233), "frame of 1001 bytes, limit 1000"),
        Triple("another protocol", "GET / HTTP/1.1\r\n\r\n".encodeToByteArray(), "limit 1000"),
        Triple("content that is not CBOR", RawPeer.frameBytes(bytes(255, 255)), "undecodable"),
        Triple("content that is not a map", RawPeer.frameBytes(bytes(0x83, 1, 2, 3)), "undecodable"),
        Triple(
            "unknown kind of message",
            RawPeer.frameBytes(bytes(0xA1, 0x61, 'm'.code, 0x82, 0x61, '?'.code, 0xA0)),
            "undecodable",
        ),
        Triple(
            "string longer than the frame",
            RawPeer.frameBytes(bytes(0xA1, 0x7A, 0x7F, 0xFF, 0xFF, 0xFF)),
            "undecodable",
        ),
    ).map { (name, input, reason) ->
        DynamicTest.dynamicTest(name) {
            expectCatching {
                read(input)
            }.isFailure().isA<FrameException>().get { message }.isNotNull().contains(reason)
        }
    }

    @Test
    fun `the end of the connection between frames is not an error`() {
        expectThat(read(ByteArray(0))).isNull()
    }

    @Test
    fun `a frame truncated at any byte throws FrameException`() {
        val whole = RawPeer.frameBytes(hello)
        (1 until whole.size).forEach { size ->
            expectCatching { read(whole.copyOf(size)) }.isFailure().isA<FrameException>()
        }
    }

    @Test
    fun `consecutive frames are read in order`() = runBlocking<Unit> {
        val ping = FrameCodec.encode(Frame.Ping)
        val reader = FrameReader(ByteReadChannel(RawPeer.frameBytes(hello) + RawPeer.frameBytes(ping)))
        expectThat(reader.read(1_000)).isEqualTo(RawPeer.hello("a"))
        expectThat(reader.read(1_000)).isEqualTo(Frame.Ping)
        expectThat(reader.lastContentBytes).isEqualTo(1)
    }
}
