package io.apricotslip.gateway.caller

import io.apricotslip.serving.state.CallerLimits
import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpResponseStatus
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

/**
 * Sends malformed, ambiguous and oversized requests over a real socket.
 *
 * Guards against request smuggling and unbounded input: a request whose end or host can be read in two ways, or that
 * exceeds a limit, must be refused with the right status and never reach the handler.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BadRequestsTest {
    private class Case(
        val name: String,
        val request: String,
        val expectedStatus: String,
        val expectedHandled: List<String> = emptyList(),
    )

    private object NoOpListener : CallerListener {
        override fun onCallerDisconnected() = Unit

        override fun onWritabilityChanged(writable: Boolean) = Unit
    }

    private val handled = CopyOnWriteArrayList<String>()
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val limits =
        CallerLimits(
            maxHeaderBytes = 1_024,
            maxBodyBytes = 4_096,
            headerTimeoutMillis = 60_000,
            idleTimeoutMillis = 60_000,
        )
    private val server =
        CallerServer(group.next(), ::handle, { limits }, { 0L }, maxConnections = 100, maxBodyBytes = 8_192)
    private val port = server.start("127.0.0.1", 0)

    private fun handle(request: CallerRequest, response: CallerResponse): CallerListener {
        handled.add("${request.uri} ${request.body.readableBytes()}")
        response.sendFull(HttpResponseStatus.OK, CallerResponse.newHeaders(), Unpooled.EMPTY_BUFFER)
        return NoOpListener
    }

    private val cases = listOf(
        Case("a valid request", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "200", listOf("/a 0")),
        Case(
            "a chunked body",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            "200",
            listOf("/a 3"),
        ),
        Case(
            "Content-Length and chunked encoding",
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "400",
        ),
        Case(
            "two different Content-Length values",
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            "400",
        ),
        Case(
            "an unknown transfer encoding",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n",
            "400",
        ),
        Case(
            "two transfer encodings",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
            "400",
        ),
        Case(
            "a Content-Length that is not a number",
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
            "400",
        ),
        Case("no Host header", "GET /a HTTP/1.1\r\n\r\n", "400"),
        Case("two Host headers", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "400"),
        Case("headers that are too long", "GET /a HTTP/1.1\r\nHost: h\r\nX: ${"x".repeat(2_000)}\r\n\r\n", "431"),
        Case("a path that is too long", "GET /${"x".repeat(2_000)} HTTP/1.1\r\nHost: h\r\n\r\n", "431"),
        Case("a body that is too long", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4097\r\n\r\n", "413"),
        Case(
            "a chunked body that is too long",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1001\r\n${"x".repeat(
                4_097,
            )}\r\n0\r\n\r\n",
            "413",
        ),
        Case(
            "a chunk size that is not a number",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
            "400",
        ),
        Case("a blank in a header's name", "GET /a HTTP/1.1\r\nHost: h\r\nX Y: 1\r\n\r\n", "400"),
        Case("a tab in a header's name", "GET /a HTTP/1.1\r\nHost: h\r\nX\tY: 1\r\n\r\n", "400"),
        Case("a control byte in a header's name", "GET /a HTTP/1.1\r\nHost: h\r\nX\u0001: 1\r\n\r\n", "400"),
        Case(
            "a blank after the name of the length",
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
            "400",
        ),
        Case("words without a colon", "GET /a HTTP/1.1\r\nHost: h\r\nseveral words\r\n\r\n", "400"),
        Case(
            "a blank in a name in trailers",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX Y: 1\r\n\r\n",
            "400",
        ),
        Case("not HTTP", "hello\r\n\r\n", "400"),
        Case("a request line in a header", "GET /a HTTP/1.1\r\nHost: h\r\nX: aGET /b HTTP/1.1\r\n\r\n", "400"),
        Case("a protocol in a header", "GET /a HTTP/1.1\r\nHost: h\r\nVia: HTTP/1.1 p\r\n\r\n", "200", listOf("/a 0")),
    )

    @TestFactory
    fun `refuses each bad request with the right status and handles only valid ones`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            handled.clear()
            val statusLine = Socket("127.0.0.1", port).use { socket ->
                socket.soTimeout = 30_000
                socket.getOutputStream().write(case.request.toByteArray())
                socket.getInputStream().bufferedReader().readLine()
            }
            expectThat(statusLine.split(' ')[1]).isEqualTo(case.expectedStatus)
            expectThat(handled.toList()).isEqualTo(case.expectedHandled)
        }
    }

    @AfterAll
    fun stop() {
        server.close()
        group.shutdownGracefully()
    }
}
