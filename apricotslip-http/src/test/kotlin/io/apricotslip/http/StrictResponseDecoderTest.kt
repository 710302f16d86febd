package io.apricotslip.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/**
 * Guards against a response that is decoded from a head or trailers that HTTP does not allow, and against a sound one
 * that is refused. Expectations are the grammar of RFC 9110 and RFC 9112.
 */
class StrictResponseDecoderTest {
    /** What was decoded: a readable response, and whether all of it is sound. */
    private class Decoded(val response: HttpResponse?, val body: String, val sound: Boolean, val complete: Boolean) {
        override fun toString() = "$sound, complete=$complete, ${response?.status()} ${response?.headers()} '$body'"
    }

    private fun decode(text: String, pieceBytes: Int): Decoded {
        val channel = EmbeddedChannel(StrictResponseDecoder())
        text.chunked(pieceBytes).forEach { channel.writeInbound(Unpooled.copiedBuffer(it, Charsets.ISO_8859_1)) }
        val messages = generateSequence { channel.readInbound<HttpObject>() }.toList()
        val body = messages.filterIsInstance<HttpContent>().joinToString("") { it.content().toString(Charsets.UTF_8) }
        val decoded = Decoded(
            messages.filterIsInstance<HttpResponse>().firstOrNull(),
            body,
            sound = messages.none { it.decoderResult().isFailure },
            complete = messages.lastOrNull().let { it is LastHttpContent && it.decoderResult().isSuccess },
        )
        messages.forEach { ReferenceCountUtil.release(it) }
        channel.finishAndReleaseAll()
        return decoded
    }

    /** Responses of [texts] that are refused although they are sound, or the other way round. */
    private fun misjudged(texts: Iterable<Pair<String, Boolean>>): List<String> = texts.flatMap { (text, sound) ->
        listOf(text.length, 1).mapNotNull { pieceBytes ->
            val decoded = decode(text, pieceBytes)
            val isWhole = decoded.sound && decoded.complete && decoded.body == BODY
            val isRefused = !decoded.sound && !decoded.complete
            "$text in pieces of $pieceBytes: $decoded".takeUnless { if (sound) isWhole else isRefused }
        }
    }

    private fun response(statusLine: String, vararg lines: String) =
        (listOf(statusLine, "Content-Length: ${BODY.length}") + lines).joinToString("") { "$it\r\n" } + "\r\n$BODY"

    @TestFactory
    fun `a status has three digits from 100 to 599`() = listOf(
        "three digits" to (0..999).map { "%03d".format(it) },
        "fewer" to (0..99).map { "$it" },
        "more" to listOf("0200", "2000", "00200", "20000000000"),
        "others" to
            listOf("+20", "+200", "-20", "2x0", "20\u0000", "20 0", "0x2", "2.0", "\u0662\u0660\u0660", "x", "2e2"),
    ).map { (name, codes) ->
        DynamicTest.dynamicTest(name) {
            val responses = codes.filterNot { it in WITHOUT_BODY || it.startsWith("1") && it.length == 3 }.map {
                response("HTTP/1.1 $it OK") to Regex("[2-5][0-9][0-9]").matches(it)
            }
            expectThat(misjudged(responses)).isEmpty()
        }
    }

    @TestFactory
    fun `a name is a token with a colon after it, whatever the byte and its place`() = listOf(
        "first" to { byte: Char -> "${byte}Name: 1" },
        "inside" to { byte: Char -> "Na${byte}me: 1" },
        "last" to { byte: Char -> "Name$byte: 1" },
        "alone" to { byte: Char -> "$byte: 1" },
    ).map { (name, line) ->
        DynamicTest.dynamicTest(name) {
            val bytes = (0..255).map { it.toChar() }
            // A line feed ends the line; a colon inside ends the name, and what follows is the value.
            val judged = bytes.filterNot { it == '\n' || it == ':' && name in listOf("inside", "last") }.map { byte ->
                val isToken = byte.code < 0x80 && (byte.isLetterOrDigit() || byte in "!#$%&'*+-.^_`|~")
                response("HTTP/1.1 200 OK", "Before: 1", line(byte)) to (isToken || isFold(name, byte))
            }
            expectThat(misjudged(judged)).isEmpty()
        }
    }

    /** A line that begins with a blank continues the value before it. */
    private fun isFold(place: String, byte: Char) = place in listOf("first", "alone") && (byte == ' ' || byte == '\t')

    private class Case(val name: String, val text: String, val sound: Boolean)

    private val cases = listOf(
        Case("an empty reason", response("HTTP/1.1 200 "), true),
        Case("no reason", response("HTTP/1.1 200"), true),
        Case(
            "a reason of words, a tab and letters beyond ASCII",
            response("HTTP/1.1 200 all\tis w\u00e4ll (yes)"),
            true,
        ),
        Case("a control byte in the reason", response("HTTP/1.1 200 O\u0001K"), false),
        Case("a delete in the reason", response("HTTP/1.1 200 O\u007fK"), false),
        Case("version 1.0", response("HTTP/1.0 200 OK"), true),
        Case("version 1.2", response("HTTP/1.2 200 OK"), false),
        Case("version 2.0", response("HTTP/2.0 200 OK"), false),
        Case("a version in small letters", response("http/1.1 200 OK"), false),
        Case("a version with a sign", response("HTTP/1.+1 200 OK"), false),
        Case("another protocol", response("ICY/1.1 200 OK"), false),
        Case("a value with blanks around it", response("HTTP/1.1 200 OK", "X: \t 1 \t"), true),
        Case("a value without a blank before it", response("HTTP/1.1 200 OK", "X:1"), true),
        Case("an empty value", response("HTTP/1.1 200 OK", "X:"), true),
        Case("a value in two lines", response("HTTP/1.1 200 OK", "X: a", " b"), true),
        Case("letters beyond ASCII in a value", response("HTTP/1.1 200 OK", "X: \u00e4"), true),
        Case("a control byte in a value", response("HTTP/1.1 200 OK", "X: a\u0001b"), false),
        Case("a carriage return in a value", response("HTTP/1.1 200 OK", "X: a\rb"), false),
        Case("a NUL in a folded line", response("HTTP/1.1 200 OK", "X: a", " \u0000b"), false),
        Case("words without a colon", response("HTTP/1.1 200 OK", "several words"), false),
        Case("a word without a colon", response("HTTP/1.1 200 OK", "word"), false),
        Case("a blank before the first field", "HTTP/1.1 200 OK\r\n Content-Length: 4\r\n\r\nbody", false),
        Case("a carriage return at the end of a folded line", response("HTTP/1.1 200 OK", "X: a", " b\r"), false),
        Case("a control byte at the end of a value", response("HTTP/1.1 200 OK", "X: a\u000b"), false),
        Case("a control byte before a value", response("HTTP/1.1 200 OK", "X:\u000ca"), false),
        Case("a control byte before the status line", "\u0000" + response("HTTP/1.1 200 OK"), false),
        Case("a control byte for a blank in the status line", response("HTTP/1.1\u000b200 OK"), false),
        Case("a line feed alone", response("HTTP/1.1 200 OK", "X: a\nY: b"), false),
        Case("sound trailers", chunked("X: 1\r\n"), true),
        Case("a blank in a name in trailers", chunked("X Y: 1\r\n"), false),
        Case("a blank after a name in trailers", chunked("X : 1\r\n"), false),
        Case("a control byte in a name in trailers", chunked("X\u0001: 1\r\n"), false),
        Case("words in trailers", chunked("several words\r\n"), false),
    )

    @TestFactory
    fun `a head or trailers are judged by the grammar of HTTP`() = cases.map {
        DynamicTest.dynamicTest(it.name) { expectThat(misjudged(listOf(it.text to it.sound))).isEmpty() }
    }

    @TestFactory
    fun `a refusal names the part in printable characters`() = listOf(
        "HTTP/1.1 000 OK" to "status '000'",
        "HTTP/1.1 200 O\u0001K" to "control byte '\\x01'",
        "HTTP/1.1 200 OK\r\nX Y: 1" to "field name 'X' that no colon follows",
        "HTTP/1.1 200 OK\r\nX\u0000\"Y: 1" to "field name 'X\\x00\\x22Y'",
        "HTTP/1.1 200 OK\r\n: 1" to "field without a name",
        "HTTP/1.1 200 OK\r\n${"(".repeat(100)}: 1" to "field name '${"(".repeat(60)}...'",
    ).map { (head, reason) ->
        DynamicTest.dynamicTest(reason) {
            val cause = decode("$head\r\n\r\n", Int.MAX_VALUE).response?.decoderResult()?.cause()
            expectThat((cause as? MalformedHeadException)?.message).isEqualTo(reason)
        }
    }

    private companion object {
        /** Holds bytes that no head may have. */
        const val BODY = "bo\u0001\ndy"

        /** Statuses of responses that have no body. */
        val WITHOUT_BODY = setOf("204", "205", "304")

        fun chunked(trailers: String) =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${BODY.length}\r\n$BODY\r\n0\r\n$trailers\r\n"
    }
}
