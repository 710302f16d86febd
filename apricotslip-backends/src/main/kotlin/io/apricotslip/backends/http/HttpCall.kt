package io.apricotslip.backends.http

import io.netty.handler.codec.http.HttpMethod
import java.net.URLEncoder

/**
 * One call to a backend server.
 *
 * @property reuseConnection whether the call may use a pooled connection; only for calls that are safe to repeat.
 */
internal class HttpCall(
    val method: HttpMethod,
    val url: String,
    val body: ByteArray = ByteArray(0),
    val contentType: String? = null,
    val headers: List<Pair<String, String>> = emptyList(),
    val reuseConnection: Boolean = false,
) {
    companion object {
        const val JSON = "application/json"

        /** Percent-encodes [text] as one path segment. */
        fun encode(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")
    }
}

/** A response that was received completely. */
internal class FullResponse(val status: Int, val contentType: String?, val body: ByteArray)
