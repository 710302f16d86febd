package io.apricotslip.gateway.buffer

import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Guards against bytes that are lost, reordered, or kept in one buffer a piece. */
class PieceCollectorTest {
    private class Case(val name: String, val pieces: List<Int>)

    private val cases = listOf(
        Case("nothing", emptyList()),
        Case("an empty piece", listOf(0)),
        Case("one piece", listOf(800)),
        Case("pieces of one byte", List(5_000) { 1 }),
        Case("pieces of all sizes", List(300) { it }),
        Case("a long piece after short ones", List(40) { 1 } + 100_000 + List(40) { 1 }),
    )

    @TestFactory
    fun `the bytes come back in their order`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val collector = PieceCollector()
            val sent = StringBuilder()
            for (length in case.pieces) {
                val text = (0 until length).joinToString("") { "${(sent.length + it) % 10}" }
                val piece = Unpooled.copiedBuffer(text, Charsets.US_ASCII)
                collector.add(piece)
                expectThat(piece.readableBytes()).isEqualTo(length)
                sent.append(text)
            }
            expectThat(collector.size).isEqualTo(sent.length)
            val taken = collector.take()
            expectThat(taken.toString(Charsets.US_ASCII)).isEqualTo(sent.toString())
            expectThat(taken.release()).isEqualTo(sent.isNotEmpty())
            expectThat(collector.size).isEqualTo(0)
        }
    }

    @Test
    fun `the number of buffers does not grow with the number of pieces`() {
        val collector = PieceCollector()
        val piece = Unpooled.wrappedBuffer(byteArrayOf(1))
        repeat(4_194_304) { collector.add(piece) }
        val taken = collector.take()
        expectThat((taken as CompositeByteBuf).numComponents()).isLessThan(300)
        taken.release()
    }
}
