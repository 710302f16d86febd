package io.apricotslip.gateway.server

import io.apricotslip.http.MalformedHeadException
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

/**
 * Judges whether the head of a response is that of one response, and not of a part of one joined to the next.
 *
 * The decoder refuses a head that is none of HTTP. Where a part of a head ends in the reason phrase or in a header's
 * value, only the first line of the next response shows. A server that quotes a status line in a header is refused too.
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

    /** What is wrong with a body that could not be decoded for [cause]. */
    fun faultInBody(cause: Throwable): String =
        if (cause is MalformedHeadException) "unreadable answer: trailers with ${cause.message}" else "answer cut off"

    private fun fault(headers: HttpHeaders): String? {
        val fields = headers.iteratorCharSequence()
        while (fields.hasNext()) {
            val (name, value) = fields.next()
            if (holdsStatusLine(value)) return "status line in header $name"
        }
        return null
    }

    private fun holdsStatusLine(text: CharSequence): Boolean = PROTOCOL in text && STATUS_LINE.containsMatchIn(text)
}
