package io.apricotslip.gateway.server

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Answers of a backend server, right and wrong, byte by byte as they arrive. */
class HttpConnectionTest {
    private class Case(
        val name: String,
        val parts: List<String>,
        val heard: List<String>,
        val reused: Boolean,
        val closes: Boolean = false,
    )

    private class Recorder : ResponseListener {
        val heard: MutableList<String> = ArrayList()

        override fun onHead(response: HttpResponse): Boolean {
            if (response.headers().get("Id") != "1") return false
            heard.add("head ${response.status().code()}")
            return true
        }

        override fun onBody(bytes: ByteBuf) {
            heard.add("body ${bytes.toString(Charsets.UTF_8)}")
        }

        override fun onComplete() {
            heard.add("ended")
        }

        override fun onFailure(reason: String) {
            heard.add("broken")
        }
    }

    private val whole = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
    private val foreign = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nbad"
    private val heard = listOf("head 200", "body ok", "ended")

    private val cases = listOf(
        Case("a whole answer", listOf(whole), heard, reused = true),
        Case("an answer in two reads", listOf(whole.take(30), whole.drop(30)), heard, reused = true),
        Case("a second answer behind it", listOf(whole + foreign), heard, reused = false),
        Case("a second answer later", listOf(whole, foreign), heard, reused = true, closes = true),
        Case("an answer to another request before it", listOf(foreign + whole), heard, reused = false),
        Case("an interim answer before it", listOf("HTTP/1.1 100 Continue\r\n\r\n", whole), heard, reused = true),
        Case("no keep-alive", listOf(whole.replace("Id: 1", "Id: 1\r\nConnection: close")), heard, reused = false),
        Case("no answer", listOf("\u0000\u0001garbage\r\n\r\n"), listOf("broken"), reused = false),
        Case(
            "a body that is cut off",
            listOf(whole.dropLast(1)),
            listOf("head 200", "body o", "broken"),
            reused = false,
            closes = true,
        ),
    )

    @TestFactory
    fun `passes exactly the answer to its request and reuses only clean connections`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            var idle = 0
            val link = HttpConnection({ 0L }, { idle++ })
            val channel = EmbeddedChannel(HttpClientCodec(4_096, 8_192, 8_192, false, false), link)
            val recorder = Recorder()
            link.send(HttpMethod.GET, "/", DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, recorder)
            case.parts.forEach { channel.writeInbound(Unpooled.copiedBuffer(it, Charsets.UTF_8)) }
            if (case.closes && recorder.heard != heard) channel.close()
            expectThat(recorder.heard.toList()).isEqualTo(case.heard)
            expectThat(idle == 1).isEqualTo(case.reused)
            if (case.closes) expectThat(channel.isActive).isEqualTo(false)
            channel.finishAndReleaseAll()
        }
    }
}
