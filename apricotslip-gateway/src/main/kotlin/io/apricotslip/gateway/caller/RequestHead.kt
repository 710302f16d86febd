package io.apricotslip.gateway.caller

import io.netty.handler.codec.http.HttpRequest

/** Judges whether the head of a request is that of one request, and not of a part of one joined to the next. */
internal object RequestHead {
    private const val PROTOCOL = " HTTP/"
    private val REQUEST_LINE = Regex("""\S+ \S+ HTTP/\d\.\d$""")

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
