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

/** What a caller may send wrong, over a real socket. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BadRequestsTest {
    private class Case(val name: String, val sent: String, val status: String, val served: List<String> = emptyList())

    private object Watcher : CallerListener {
        override fun onCallerDisconnected() = Unit

        override fun onWritabilityChanged(writable: Boolean) = Unit
    }

    private val served = CopyOnWriteArrayList<String>()
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val limits =
        CallerLimits(
            maxHeaderBytes = 1_024,
            maxBodyBytes = 4_096,
            headerTimeoutMillis = 60_000,
            idleTimeoutMillis = 60_000,
        )
    private val server =
        CallerServer(group.next(), ::serve, { limits }, { 0L }, maxConnections = 100, maxBodyBytes = 8_192)
    private val port = server.start("127.0.0.1", 0)

    private fun serve(request: CallerRequest, answer: CallerResponse): CallerListener {
        served.add("${request.uri} ${request.body.readableBytes()}")
        answer.sendFull(HttpResponseStatus.OK, CallerResponse.newHeaders(), Unpooled.EMPTY_BUFFER)
        return Watcher
    }

    private val cases = listOf(
        Case("a proper request", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "200", listOf("/a 0")),
        Case(
            "a body in chunks",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            "200",
            listOf("/a 3"),
        ),
        Case(
            "both lengths",
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "400",
        ),
        Case(
            "two different lengths",
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            "400",
        ),
        Case("an unknown encoding", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n", "400"),
        Case("two encodings", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "400"),
        Case("a length that is no number", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", "400"),
        Case("no host", "GET /a HTTP/1.1\r\n\r\n", "400"),
        Case("two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "400"),
        Case("a head that is too long", "GET /a HTTP/1.1\r\nHost: h\r\nX: ${"x".repeat(2_000)}\r\n\r\n", "431"),
        Case("a path that is too long", "GET /${"x".repeat(2_000)} HTTP/1.1\r\nHost: h\r\n\r\n", "431"),
        Case("a body that is too long", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4097\r\n\r\n", "413"),
        Case(
            "chunks that are too long",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1001\r\n${"x".repeat(
                4_097,
            )}\r\n0\r\n\r\n",
            "413",
        ),
        Case(
            "a chunk size that is no number",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
            "400",
        ),
        Case("no HTTP", "hello\r\n\r\n", "400"),
    )

    @TestFactory
    fun `answers each wrong request clearly and serves only proper ones`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            served.clear()
            val line = Socket("127.0.0.1", port).use { socket ->
                socket.soTimeout = 30_000
                socket.getOutputStream().write(case.sent.toByteArray())
                socket.getInputStream().bufferedReader().readLine()
            }
            expectThat(line.split(' ')[1]).isEqualTo(case.status)
            expectThat(served.toList()).isEqualTo(case.served)
        }
    }

    @AfterAll
    fun stop() {
        server.close()
        group.shutdownGracefully()
    }
}
