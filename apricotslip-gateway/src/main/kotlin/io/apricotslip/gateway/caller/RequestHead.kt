package io.apricotslip.gateway.caller

import io.netty.handler.codec.http.HttpRequest

/** Judges whether the head of a request is that of one request, and not of a part of one joined to the next. */
internal object RequestHead {
    private const val PROTOCOL = " HTTP/"
    private val REQUEST_LINE = Regex("""\S+ \S+ HTTP/\d\.\d$""")

    /** Netty quotes an invalid name after these words, which may be a whole line with the caller's key in it. */
    private const val QUOTED_NAME = " of header '"

    /** Why a head could not be decoded, for the log; null if [cause] does not say. */
    fun reason(cause: Throwable): String? = cause.message?.substringBefore(QUOTED_NAME)

    /** What is wrong with the head of [request]; null if nothing is. A name that is no token is refused before. */
    fun fault(request: HttpRequest): String? {
        val headers = request.headers().iteratorCharSequence()
        while (headers.hasNext()) {
            val (name, value) = headers.next()
            if (PROTOCOL in value && REQUEST_LINE.containsMatchIn(value)) return "request line in header $name"
        }
        return null
    }
}
