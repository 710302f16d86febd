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
 * A caller whose request breaks off somewhere in its head and who then sends a whole one on the same connection. The two
 * heads are joined; what comes of it was sent by nobody and must not be executed.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class JoinedRequestsTest {
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
        handled.add("${request.method} ${request.uri} ${request.headers.entries()}")
        response.sendFull(HttpResponseStatus.OK, CallerResponse.newHeaders(), Unpooled.EMPTY_BUFFER)
        return NoOpListener
    }

    private fun exchange(input: String): List<String> = Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = 30_000
        socket.getOutputStream().write(input.toByteArray())
        socket.shutdownOutput()
        socket.getInputStream().bufferedReader().readLines().filter { it.startsWith("HTTP/") }.map { it.split(' ')[1] }
    }

    @TestFactory
    fun `a request that is joined to the part of another is not executed`() = FIRST.flatMap { first ->
        SECOND_TARGETS.flatMap { target ->
            (METHOD_CHARACTERS until first.length).map { end ->
                DynamicTest.dynamicTest("after ${first.take(end).takeLast(12).replace("\r\n", "|")} ($end) $target") {
                    handled.clear()
                    val statuses = exchange(first.take(end) + second(target))
                    expectThat(handled.toList()).isEqualTo(emptyList())
                    expectThat(statuses).isEqualTo(listOf("400"))
                }
            }
        }
    }

    @AfterAll
    fun stop() {
        server.close()
        group.shutdownGracefully()
    }

    private companion object {
        /** A method that is cut off is joined to the next one; whether that is a method is for the server to tell. */
        const val METHOD_CHARACTERS = 5
        val SECOND_TARGETS = listOf("/second", "/second?at=1:2", "http://h/second")
        val FIRST = listOf(
            "POST /first HTTP/1.1\r\nX-Request-Id: one\r\nAccept: text/plain, */*\r\nX-Empty:\r\nHost: h\r\n",
            "POST /first?a=b HTTP/1.1\r\nHost: h\r\nX-Other: a\r\n",
        )

        fun second(target: String) =
            "POST $target HTTP/1.1\r\nHost: h\r\nX-Request-Id: two\r\nContent-Length: 0\r\n\r\n"
    }
}
