package io.apricotslip.gateway.server

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.util.ReferenceCountUtil
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.IOException

/**
 * Feeds the bytes of a backend server's responses, valid and invalid, into a connection.
 *
 * Guards against a caller getting the response to another request: bytes that belong to another response, are cut off
 * or cannot be parsed must not be passed on as a complete response, and their connection must not be reused.
 */
class HttpConnectionTest {
    private class Case(
        val name: String,
        val parts: List<String>,
        val expectedEvents: List<String>,
        val reused: Boolean,
        val closes: Boolean = false,
    )

    private class Recorder : ResponseListener {
        val events: MutableList<String> = ArrayList()

        override fun onHead(response: HttpResponse): Boolean {
            if (response.headers().get("Id") != "1") return false
            events.add("head ${response.status().code()}")
            return true
        }

        override fun onBody(bytes: ByteBuf) {
            events.add("body ${bytes.toString(Charsets.UTF_8)}")
        }

        override fun onComplete() {
            events.add("complete")
        }

        override fun onFailure(reason: String) {
            events.add("failure")
        }
    }

    private val completeResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
    private val otherResponse = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nbad"
    private val completeEvents = listOf("head 200", "body ok", "complete")

    private val cases = listOf(
        Case("a complete response", listOf(completeResponse), completeEvents, reused = true),
        Case(
            "a response in two reads",
            listOf(completeResponse.take(30), completeResponse.drop(30)),
            completeEvents,
            reused = true,
        ),
        Case(
            "a second response in the same read",
            listOf(completeResponse + otherResponse),
            completeEvents,
            reused = false,
        ),
        Case(
            "a second response in a later read",
            listOf(completeResponse, otherResponse),
            completeEvents,
            reused = true,
            closes = true,
        ),
        Case(
            "a response to another request before it",
            listOf(otherResponse + completeResponse),
            completeEvents,
            reused = false,
        ),
        Case(
            "an informational response before it",
            listOf("HTTP/1.1 100 Continue\r\n\r\n", completeResponse),
            completeEvents,
            reused = true,
        ),
        Case(
            "no keep-alive",
            listOf(completeResponse.replace("Id: 1", "Id: 1\r\nConnection: close")),
            completeEvents,
            reused = false,
        ),
        Case(
            "a switch of protocols that was not asked for",
            listOf("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", completeResponse),
            listOf("failure"),
            reused = false,
        ),
        Case("not HTTP", listOf("\u0000\u0001garbage\r\n\r\n"), listOf("failure"), reused = false),
        Case("a head without end", List(20) { "X".repeat(500) }, listOf("failure"), reused = false),
        Case(
            "a header without end",
            listOf("HTTP/1.1 200 OK\r\nId: ") + List(80) { "1".repeat(500) },
            listOf("failure"),
            reused = false,
        ),
        Case(
            "a body without end of a response to another request",
            listOf("HTTP/1.1 200 OK\r\nId: 2\r\n\r\n") + List(400) { "x".repeat(500) },
            listOf("failure"),
            reused = false,
        ),
        Case(
            "interim responses without end",
            List(2_000) { "HTTP/1.1 102 Processing\r\n\r\n" },
            listOf("failure"),
            reused = false,
        ),
        Case(
            "a body that is cut off",
            listOf(completeResponse.dropLast(1)),
            listOf("head 200", "body o", "failure"),
            reused = false,
            closes = true,
        ),
    )

    @TestFactory
    fun `passes on only the response to its request and reuses only clean connections`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            var idleCount = 0
            val connection = HttpConnection({ 0L }, { idleCount++ })
            val channel = EmbeddedChannel(connection)
            val recorder = Recorder()
            connection.send(HttpMethod.GET, "/", DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, recorder)
            case.parts.forEach { if (channel.isOpen) channel.writeInbound(Unpooled.copiedBuffer(it, Charsets.UTF_8)) }
            if (case.closes && recorder.events != completeEvents) channel.close()
            expectThat(recorder.events.toList()).isEqualTo(case.expectedEvents)
            expectThat(idleCount == 1).isEqualTo(case.reused)
            if (case.closes) expectThat(channel.isActive).isEqualTo(false)
            channel.finishAndReleaseAll()
        }
    }

    /** A response that arrives before a request is written as a whole, which then fails as the server resets the connection. */
    private class ResetCase(val name: String, val response: String, val lastEvent: String)

    @TestFactory
    fun `a response that ends with its connection is not complete if the connection was reset`() = listOf(
        ResetCase("without a length", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart", "failure"),
        ResetCase("with a length", completeResponse, "complete"),
    ).map { case ->
        DynamicTest.dynamicTest(case.name) {
            val connection = HttpConnection({ 0L })
            val writes = ArrayList<ChannelPromise>()
            val unfinishedWrites = object : ChannelOutboundHandlerAdapter() {
                override fun write(ctx: ChannelHandlerContext, msg: Any, promise: ChannelPromise) {
                    ReferenceCountUtil.release(msg)
                    writes += promise
                }
            }
            val channel = EmbeddedChannel(unfinishedWrites, connection)
            val recorder = Recorder()
            connection.get(recorder)
            channel.writeInbound(Unpooled.copiedBuffer(case.response, Charsets.UTF_8))
            writes.forEach { it.tryFailure(IOException("Connection reset")) }
            channel.close()
            expectThat(recorder.events.last()).isEqualTo(case.lastEvent)
            channel.finishAndReleaseAll()
        }
    }

    /** What arrives for a first request, and whether the next one, sent as soon as that is answered, goes on its connection. */
    private class NextCase(val name: String, val first: String, val next: List<String>)

    private val nextCases = listOf(
        NextCase("a complete response", completeResponse, completeEvents),
        NextCase("a copy of the response in the same read", completeResponse + completeResponse, emptyList()),
        NextCase(
            "no keep-alive",
            completeResponse.replace("Id: 1", "Id: 1\r\nConnection: close"),
            emptyList(),
        ),
    )

    @TestFactory
    fun `a request that is sent as soon as the one before is answered gets only its own response`() =
        nextCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val connection = HttpConnection({ 0L })
                val channel = EmbeddedChannel(connection)
                val next = Recorder()
                val first = object : ResponseListener by Recorder() {
                    override fun onComplete() {
                        if (connection.open && !connection.busy) connection.get(next)
                    }
                }
                connection.get(first)
                channel.writeInbound(Unpooled.copiedBuffer(case.first, Charsets.UTF_8))
                val sent = connection.busy
                if (sent) channel.writeInbound(Unpooled.copiedBuffer(completeResponse, Charsets.UTF_8))
                expectThat(next.events.toList()).isEqualTo(case.next)
                expectThat(sent).describedAs("sent on the same connection").isEqualTo(case.next.isNotEmpty())
                channel.finishAndReleaseAll()
            }
        }

    /** Whether reading is paused by the last part of the body, or by the end of the response. */
    private class PauseCase(val name: String, val atBody: Boolean)

    @TestFactory
    fun `a connection on which reading was paused reads on when it is idle`() =
        listOf(PauseCase("at the last part of the body", true), PauseCase("at the end", false)).map { case ->
            DynamicTest.dynamicTest(case.name) {
                var idleCount = 0
                val connection = HttpConnection({ 0L }, { idleCount++ })
                val channel = EmbeddedChannel(connection)
                connection.get(
                    object : ResponseListener by Recorder() {
                        override fun onBody(bytes: ByteBuf) {
                            if (case.atBody) connection.setAutoRead(false)
                        }

                        override fun onComplete() {
                            if (!case.atBody) connection.setAutoRead(false)
                        }
                    },
                )
                channel.writeInbound(Unpooled.copiedBuffer(completeResponse, Charsets.UTF_8))
                expectThat(idleCount).isEqualTo(1)
                expectThat(channel.config().isAutoRead).describedAs("reading").isEqualTo(true)
                channel.finishAndReleaseAll()
            }
        }

    private fun HttpConnection.get(listener: ResponseListener) =
        send(HttpMethod.GET, "/", DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, listener)
}
