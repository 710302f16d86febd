package io.apricotslip.gateway.server

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Guards against a response to another request that is skipped and takes the response of the next request with it (MIXED). */
class SkippedResponseTest {
    private class Recorder : ResponseListener {
        val events = ArrayList<String>()
        val body = StringBuilder()

        override fun onHead(response: HttpResponse): Boolean {
            if (response.headers().get("Id") != "2") return false
            events += "head ${response.status().code()}"
            return true
        }

        override fun onBody(bytes: ByteBuf) {
            body.append(bytes.toString(Charsets.UTF_8))
        }

        override fun onComplete() {
            events += "complete"
        }

        override fun onFailure(reason: String) {
            events += "failure"
        }
    }

    private enum class Framing { LENGTH, CHUNKS }

    private val quoted = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nbad"
    private val plain = "the next body!"

    private val parts = (1..200).map { skipped("Content-Length: $it") } +
        CHUNK_PARTS.map { skipped("Transfer-Encoding: chunked") + it } +
        listOf("100 Continue", "103 Early Hints", "204 No Content", "304 Not Modified").flatMap { status ->
            "HTTP/1.1 $status\r\nId: 1\r\nContent-Length: 5\r\n\r\nfirst".let { text -> text.indices.map(text::take) }
        } +
        "HTTP/1.0 200 OK\r\nId: 1\r\nContent-Length: 5\r\nConnection: keep-alive\r\n\r\nfirst".let { text ->
            text.indices.map(text::take)
        }

    @TestFactory
    fun `no response is made of a part of another one, or of the body of a response`() =
        listOf(plain, quoted).flatMap { body ->
            Framing.values().flatMap { framing ->
                listOf(false, true).map { inOneRead ->
                    DynamicTest.dynamicTest(
                        "${body.take(8)} in $framing, ${if (inOneRead) "in one read" else "byte by byte"}",
                    ) {
                        val faults = parts.mapNotNull { part -> fault(part, response(body, framing), body, inOneRead) }
                        expectThat(faults).isEmpty()
                    }
                }
            }
        }

    private fun fault(part: String, response: String, body: String, inOneRead: Boolean): String? {
        val recorder = receive(if (inOneRead) listOf(part + response) else (part + response).map { "$it" })
        val ownStatus = recorder.events.none { it.startsWith("head") && it != "head 500" }
        val ownBody = if ("complete" in recorder.events) "${recorder.body}" == body else body.startsWith(recorder.body)
        return "$part: ${recorder.events} ${recorder.body}".takeUnless { ownStatus && ownBody }
    }

    @TestFactory
    fun `a request whose response can no longer arrive fails at once`() = listOf(
        "a body that breaks off" to skipped("Content-Length: 200") + "fir",
        "a response that ends with its connection" to skipped("Server: a") + "body",
        "trailers that break off" to skipped("Transfer-Encoding: chunked") + "0\r\nX: y",
    ).map { (name, part) ->
        DynamicTest.dynamicTest(name) {
            val events = receive(listOf(part, response(plain, Framing.LENGTH))).events
            expectThat(events.toList()).isEqualTo(listOf("failure"))
        }
    }

    @TestFactory
    fun `sound responses are not refused`() = listOf(
        "HTTP/1.1 505 HTTP Version Not Supported",
        "HTTP/1.1 200",
        "HTTP/1.1 200 ",
        "HTTP/1.0 200 OK",
        "HTTP/1.1 426 Upgrade to HTTP/2.0 required",
        "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy (x)",
        "HTTP/1.1 200 OK\r\nVia: 1.1 a, HTTP/1.1 b",
        "HTTP/1.1 200 OK\r\nServer: x HTTP/1.1",
        "HTTP/1.1 200 OK\r\nX-Empty:",
        "HTTP/1.1 200 OK\r\nX-Folded: 1\r\n 2",
    ).map { head ->
        DynamicTest.dynamicTest(head) {
            val events = receive(listOf("$head\r\nId: 2\r\nContent-Length: 3\r\n\r\nown")).events
            expectThat(events.last()).isEqualTo("complete")
        }
    }

    @Test
    fun `the rest of a read in which the request failed is not reported as stray bytes`() {
        val strays = ArrayList<String>()
        val head = "HTTP/1.1 200 OK\r\nX: HTTP/1.1 500 E\r\nContent-Length: 500\r\n\r\n"
        val recorder = receive(listOf(head + "x".repeat(500))) { strays += it }
        expectThat(recorder.events.toList()).isEqualTo(listOf("failure"))
        expectThat(strays).isEmpty()
    }

    /** Sends request 2 on a connection and then receives [pieces] on it. */
    private fun receive(pieces: List<String>, onStray: (String) -> Unit = {}): Recorder {
        val connection = HttpConnection({ 0L }, onStray = onStray)
        val channel = EmbeddedChannel(connection)
        val recorder = Recorder()
        connection.send(HttpMethod.GET, "/", DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, recorder)
        for (piece in pieces) if (channel.isOpen) channel.writeInbound(Unpooled.copiedBuffer(piece, Charsets.UTF_8))
        // What the end of the connection adds is no part of the answer.
        val seen = Recorder().apply {
            events += recorder.events
            body.append(recorder.body)
        }
        channel.finishAndReleaseAll()
        return seen
    }

    private fun response(body: String, framing: Framing): String {
        val head = "HTTP/1.1 500 E\r\nServer: a\r\nId: 2\r\n"
        if (framing == Framing.LENGTH) return "${head}Content-Length: ${body.length}\r\n\r\n$body"
        return "${head}Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n".format(body.length, body)
    }

    private companion object {
        /** What may arrive of a body in chunks. */
        val CHUNK_PARTS = listOf(
            "", "1", "1;", "1\r", "1\r\n", "1\r\nx", "1\r\nx\r", "1\r\nx\r\n", "1\r\nx\r\n0", "1\r\nx\r\n0\r",
            "0;", "0\r\n", "0\r\nX: y", "0\r\nX: y\r\n", "0\r\n\r", "ffffff\r\n", "40\r\n", "10\r\n", "20;x=",
        )

        /** The head of a response to request 1. */
        fun skipped(header: String): String = "HTTP/1.1 200 OK\r\nId: 1\r\n$header\r\n\r\n"
    }
}
