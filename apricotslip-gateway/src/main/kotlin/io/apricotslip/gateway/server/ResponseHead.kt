package io.apricotslip.gateway.server

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion

/** Judges whether the head of a response is that of one response, and not of a part of one joined to the next. */
internal object ResponseHead {
    private const val PROTOCOL = "HTTP/"
    private val STATUS_LINE = Regex("""HTTP/\d\.\d \d{3}""")
    private val VERSIONS = setOf(HttpVersion.HTTP_1_0, HttpVersion.HTTP_1_1)

    /** What is wrong with the head of [response]; null if nothing is. */
    fun fault(response: HttpResponse): String? {
        val failure = response.decoderResult().cause()
        return when {
            failure != null -> failure.message ?: failure.javaClass.simpleName
            response.protocolVersion() !in VERSIONS -> "version ${response.protocolVersion()}"
            PROTOCOL in response.status().reasonPhrase() -> "status line in a reason phrase"
            else -> headerFault(response)
        }
    }

    /** The first line of the next response shows wherever a part of a head ends: in a name, a value or a line without a colon. */
    private fun headerFault(response: HttpResponse): String? {
        val headers = response.headers().iteratorCharSequence()
        while (headers.hasNext()) {
            val (name, value) = headers.next()
            if (name.isEmpty() || !name.all(::isTokenCharacter)) return "header name \"$name\""
            if (PROTOCOL in value && STATUS_LINE.containsMatchIn(value)) return "status line in header $name"
        }
        return null
    }

    private fun isTokenCharacter(character: Char): Boolean =
        character in '0'..'9' || character in 'a'..'z' || character in 'A'..'Z' || character in "!#$%&'*+-.^_`|~"
}
