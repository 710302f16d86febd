package io.apricotslip.gateway.exchange

import io.netty.buffer.Unpooled
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

class EventSplitterTest {
    private fun EventSplitter.feed(text: String): String {
        val whole = take(Unpooled.copiedBuffer(text, Charsets.UTF_8)) ?: return ""
        return whole.toString(Charsets.UTF_8).also { whole.release() }
    }

    @Test
    fun `bytes of an event pass only when it is whole`() {
        val cases = listOf(
            listOf("id: 1\nda", "ta: x\n", "\n") to listOf("", "", "id: 1\ndata: x\n\n"),
            listOf("id: 1\n\nid: 2\nda", "ta: y\n\n") to listOf("id: 1\n\n", "id: 2\ndata: y\n\n"),
            listOf("id: 1\r\ndata: z\r\n\r\n") to listOf("id: 1\r\ndata: z\r\n\r\n"),
        )
        for ((fed, expected) in cases) {
            val splitter = EventSplitter()
            expectThat(fed.map { splitter.feed(it) }).isEqualTo(expected)
        }
    }

    @Test
    fun `the last id is that of the last whole event`() {
        val splitter = EventSplitter()
        splitter.feed("id: 7\ndata: a\n\nid: 8\ndata")
        expectThat(splitter.lastId).isEqualTo(7)
        expectThat(splitter.partial).isEqualTo(true)
        splitter.reset()
        splitter.feed("id: 8\ndata: b\n\n")
        expectThat(splitter.lastId).isEqualTo(8)
    }

    @Test
    fun `however a stream is cut into parts, all of its bytes pass in order`() {
        val stream = (1..40).joinToString("") { "id: $it\ndata: ${"x".repeat(it)}\n\n" }
        for (seed in 1..200) {
            val random = Random(seed)
            val splitter = EventSplitter()
            val passed = StringBuilder()
            var at = 0
            while (at < stream.length) {
                val end = minOf(stream.length, at + random.nextInt(1, 60))
                passed.append(splitter.feed(stream.substring(at, end)))
                at = end
            }
            expectThat(passed.toString()).describedAs("seed $seed").isEqualTo(stream)
            expectThat(splitter.lastId).isEqualTo(40)
        }
    }
}
