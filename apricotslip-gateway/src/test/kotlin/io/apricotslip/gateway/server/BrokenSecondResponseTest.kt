package io.apricotslip.gateway.server

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotNull

/**
 * Guards against a second response that breaks off, at any byte, and is joined to the next response on its connection
 * (MIXED).
 */
class BrokenSecondResponseTest {
    private enum class Framing { LENGTH, CHUNKS }

    /** When the part of the second response arrives. */
    private enum class Moment(val beforeNextRequest: Boolean) {
        WITH_FIRST_RESPONSE(true),
        WHILE_IDLE(true),
        BYTE_BY_BYTE_WHILE_IDLE(true),
        BEFORE_NEXT_RESPONSE(false),
        WITH_NEXT_RESPONSE(false),
        BYTE_BY_BYTE_WITH_NEXT_RESPONSE(false),
    }

    /** The second response: a copy of the first, or one that differs from it. */
    private enum class Second(val status: String, val id: String?, val body: String) {
        COPY(OK, "1", "first"),
        FAILURE(FAILED, "1", "failure"),
        EMPTY(OK, "1", ""),
        WITHOUT_ID(OK, null, "nobody's"),
        LONG(OK, "1", "x".repeat(300)),
    }

    private class Case(
        val moment: Moment,
        val second: Second,
        val framing: Framing,
        val nextFraming: Framing,
        val nextStatus: String,
    ) {
        val name = "$moment, $second in $framing, then $nextStatus in $nextFraming"
        val copy = response(second.status, second.id, second.body, framing)
    }

    private class Recorder(private val id: String) : ResponseListener {
        val statuses = ArrayList<Int>()
        val body = StringBuilder()
        var complete = false
        var failure: String? = null

        override fun onHead(response: HttpResponse): Boolean {
            if (response.headers().get("Id") != id) return false
            statuses += response.status().code()
            return true
        }

        override fun onBody(bytes: ByteBuf) {
            body.append(bytes.toString(Charsets.UTF_8))
        }

        override fun onComplete() {
            complete = true
        }

        override fun onFailure(reason: String) {
            failure = reason
        }
    }

    private val cases = Moment.values().flatMap { moment ->
        Second.values().flatMap { second ->
            Framing.values().flatMap { framing ->
                Framing.values().flatMap { next ->
                    listOf(OK, FAILED).map { Case(moment, second, framing, next, it) }
                }
            }
        }
    }

    @TestFactory
    fun `a part of a second response is joined to no other response`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val faults = (1 until case.copy.length).mapNotNull { cut ->
                fault(case, case.copy.take(cut))?.let { "cut at $cut: $it" }
            }
            expectThat(faults).isEmpty()
        }
    }

    @TestFactory
    fun `a request whose response is swallowed by a second response fails without waiting for its time limit`() =
        Framing.values().flatMap { framing -> Framing.values().map { framing to it } }.map { (framing, nextFraming) ->
            DynamicTest.dynamicTest("the second response in $framing, the next in $nextFraming") {
                val connection = HttpConnection({ 0L })
                val channel = EmbeddedChannel(connection)
                connection.get(Recorder("1"))
                channel.receive(response(OK, "1", "first", framing))
                val next = Recorder("2")
                connection.get(next)
                channel.receive(response(OK, "1", "x".repeat(SWALLOWED_BYTES), framing).dropLast(SWALLOWED_BYTES))
                response(OK, "2", NEXT_BODY, nextFraming).chunked(PIECE_BYTES).forEach { channel.receive(it) }
                expectThat(next.failure).isNotNull()
                expectThat(next.statuses).isEmpty()
                channel.finishAndReleaseAll()
            }
        }

    private fun fault(case: Case, part: String): String? {
        val connection = HttpConnection({ 0L })
        val channel = EmbeddedChannel(connection)
        try {
            val first = response(OK, "1", "first", case.framing)
            connection.get(Recorder("1"))
            channel.receive(if (case.moment == Moment.WITH_FIRST_RESPONSE) first + part else first)
            if (case.moment == Moment.WHILE_IDLE) channel.receive(part)
            if (case.moment == Moment.BYTE_BY_BYTE_WHILE_IDLE) part.forEach { channel.receive("$it") }
            if (case.moment.beforeNextRequest) return "the connection is kept".takeIf { channel.isActive }
            return nextFault(case, part, connection, channel)
        } finally {
            channel.finishAndReleaseAll()
        }
    }

    private fun nextFault(case: Case, part: String, connection: HttpConnection, channel: EmbeddedChannel): String? {
        val next = Recorder("2")
        connection.get(next)
        val response = response(case.nextStatus, "2", NEXT_BODY, case.nextFraming)
        when (case.moment) {
            Moment.BYTE_BY_BYTE_WITH_NEXT_RESPONSE -> (part + response).forEach { channel.receive("$it") }
            Moment.BEFORE_NEXT_RESPONSE -> {
                channel.receive(part)
                channel.receive(response)
            }
            else -> channel.receive(part + response)
        }
        val status = case.nextStatus.substringBefore(' ').toInt()
        val ownStatus = next.statuses.all { it == status }
        val ownBody = if (next.complete) next.body.toString() == NEXT_BODY else NEXT_BODY.startsWith(next.body)
        return "got ${next.statuses} \"${next.body}\" complete=${next.complete}".takeUnless { ownStatus && ownBody }
    }

    private fun EmbeddedChannel.receive(text: String) {
        if (isOpen) writeInbound(Unpooled.copiedBuffer(text, Charsets.UTF_8))
    }

    private fun HttpConnection.get(listener: ResponseListener) =
        send(HttpMethod.GET, "/", DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, listener)

    private companion object {
        const val OK = "200 OK"
        const val FAILED = "500 Internal Server Error"
        const val NEXT_BODY = "the next body"

        /** Longer than the next response. */
        const val SWALLOWED_BYTES = 400

        /** Shorter than a status line. */
        const val PIECE_BYTES = 5

        fun response(status: String, id: String?, body: String, framing: Framing): String {
            val length = if (framing ==
                Framing.LENGTH
            ) {
                "Content-Length: ${body.length}"
            } else {
                "Transfer-Encoding: chunked"
            }
            val head = listOfNotNull("HTTP/1.1 $status", "Server: a", id?.let { "Id: $it" }, "Seal: s$id", length)
            val chunks = if (body.isEmpty()) "" else "%x\r\n%s\r\n".format(body.length, body)
            return head.joinToString("\r\n") + "\r\n\r\n" +
                if (framing == Framing.LENGTH) body else "${chunks}0\r\n\r\n"
        }
    }
}
