package io.apricotslip.gateway.server

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

/**
 * Judges whether the head of a response is that of one response, and not of a part of one joined to the next.
 *
 * The first line of the next response shows wherever a part of a head ends: in the reason phrase, in a header's name or
 * value, or as a line without a colon. A server that quotes a status line in a header is refused as well.
 */
internal object ResponseHead {
    private const val PROTOCOL = "HTTP/"
    private val STATUS_LINE = Regex("""HTTP/\d\.\d \d{3}""")

    /** What is wrong with the head of [response]; null if nothing is. */
    fun fault(response: HttpResponse): String? {
        val failure = response.decoderResult().cause()
        return when {
            failure != null -> failure.message ?: failure.javaClass.simpleName
            holdsStatusLine(response.status().reasonPhrase()) -> "status line in a reason phrase"
            else -> fault(response.headers())
        }
    }

    private fun fault(headers: HttpHeaders): String? {
        val fields = headers.iteratorCharSequence()
        while (fields.hasNext()) {
            val (name, value) = fields.next()
            if (name.isEmpty() || !name.all(::isTokenCharacter)) return "header name \"$name\""
            if (holdsStatusLine(value)) return "status line in header $name"
        }
        return null
    }

    private fun holdsStatusLine(text: CharSequence): Boolean = PROTOCOL in text && STATUS_LINE.containsMatchIn(text)

    private fun isTokenCharacter(character: Char): Boolean =
        character in '0'..'9' || character in 'a'..'z' || character in 'A'..'Z' || character in "!#$%&'*+-.^_`|~"
}
