package io.apricotslip.gateway.server

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit

/**
 * Guards against an order that counts as carried out because a late copy of another answer arrived on its connection,
 * and against an answer without end that fills the memory.
 */
class TextCallTest {
    private class Case(val name: String, val parts: List<String>, val expected: List<String>)

    private val answer = "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\nok"
    private val lateCopy = "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 3\r\n\r\nbad"

    private val cases = listOf(
        Case("the answer", listOf(answer), listOf("202 ok")),
        Case("a late copy of the answer to a request, then the answer", listOf(lateCopy, answer), listOf("202 ok")),
        Case("only a late copy", listOf(lateCopy), emptyList()),
        Case("status 0202", listOf(answer.replace("202", "0202")), listOf("none")),
        Case("status 000", listOf(answer.replace("202", "000")), listOf("none")),
        Case("a blank in a name", listOf(answer.replace("Content", "X Y: 1\r\nContent")), listOf("none")),
        Case("a blank after the name of the length", listOf(answer.replace(": 2", " : 1")), listOf("none")),
        Case("a control byte in a name", listOf(answer.replace("Content", "X\u0001: 1\r\nContent")), listOf("none")),
        Case("a late copy with a broken head", listOf(lateCopy.replace("Id:", "Id :"), answer), listOf("none")),
        Case("a broken interim answer", listOf("HTTP/1.1 103 Hints\r\nX Y: 1\r\n\r\n", answer), listOf("none")),
        Case(
            "a body without end",
            listOf("HTTP/1.1 200 OK\r\n\r\n") + List(100) { "x".repeat(100) },
            listOf("none"),
        ),
    )

    @TestFactory
    fun `an outcome is taken only from the answer to the call`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val connection = HttpConnection({ 0L })
            val channel = EmbeddedChannel(connection)
            val outcomes = ArrayList<String>()
            val call = TextCall(HttpMethod.POST, "/order", DefaultHttpHeaders(), maxResponseBytes = 1_000) {
                !it.contains("Id")
            }
            call.send(connection, channel.eventLoop(), timeoutMillis = 60_000) {
                outcomes += if (it is TextCall.Outcome.Response) "${it.status} ${it.text}" else "none"
            }
            case.parts.forEach { if (channel.isOpen) channel.writeInbound(Unpooled.copiedBuffer(it, Charsets.UTF_8)) }
            expectThat(outcomes.toList()).isEqualTo(case.expected)
            channel.finishAndReleaseAll()
        }
    }

    /** An answer of which a part arrives after each of [pauses], in milliseconds. */
    private class Slow(val name: String, val maxPauseMillis: Long?, val pauses: List<Long>, val expected: String)

    private val slowAnswers = listOf(
        Slow("all in time", null, listOf(100, 100, 100), "200 abc"),
        Slow("longer than the time in all", null, listOf(400, 400, 400), "none"),
        Slow("longer than the time in all, with short pauses", 600, listOf(400, 400, 400), "200 abc"),
        Slow("begun late", 600, listOf(1_100, 10, 10), "none"),
        Slow("with a long pause within the time", 600, listOf(100, 700, 10), "200 abc"),
        Slow("silent once it has begun", 600, listOf(500, 700, 10), "none"),
    )

    @TestFactory
    fun `a long answer is awaited while its parts keep coming, and a silent one is given up`() =
        slowAnswers.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val connection = HttpConnection({ 0L })
                val channel = EmbeddedChannel(connection)
                var outcome = ""
                val call = TextCall(HttpMethod.GET, "/", DefaultHttpHeaders(), maxPauseMillis = case.maxPauseMillis)
                call.send(connection, channel.eventLoop(), timeoutMillis = 1_000) {
                    outcome = if (it is TextCall.Outcome.Response) "${it.status} ${it.text}" else "none"
                }
                val parts = listOf("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na", "b", "c")
                parts.zip(case.pauses).forEach { (part, pauseMillis) ->
                    channel.advanceTimeBy(pauseMillis, TimeUnit.MILLISECONDS)
                    channel.runScheduledPendingTasks()
                    if (channel.isOpen) channel.writeInbound(Unpooled.copiedBuffer(part, Charsets.UTF_8))
                }
                expectThat(outcome).isEqualTo(case.expected)
                channel.finishAndReleaseAll()
            }
        }

    @Test
    fun `an answer that comes byte by byte is given up after a while`() {
        val connection = HttpConnection({ 0L })
        val channel = EmbeddedChannel(connection)
        var failure: TextCall.Outcome.NoResponse? = null
        val call = TextCall(HttpMethod.GET, "/", DefaultHttpHeaders(), maxPauseMillis = 600)
        call.send(connection, channel.eventLoop(), timeoutMillis = 1_000) {
            failure = it as? TextCall.Outcome.NoResponse
        }
        channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", Charsets.UTF_8))
        repeat(30) {
            channel.advanceTimeBy(400, TimeUnit.MILLISECONDS)
            channel.runScheduledPendingTasks()
            if (channel.isOpen) channel.writeInbound(Unpooled.copiedBuffer("x", Charsets.UTF_8))
        }
        expectThat(failure?.timedOut).isEqualTo(true)
        channel.finishAndReleaseAll()
    }
}
