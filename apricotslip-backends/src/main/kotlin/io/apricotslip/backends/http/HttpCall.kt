package io.apricotslip.backends.http

import io.netty.handler.codec.http.HttpMethod
import java.net.URLEncoder

/**
 * One call of a backend server.
 *
 * @property shared whether the call may reuse a connection; only for calls that may be repeated.
 */
internal class HttpCall(
    val method: HttpMethod,
    val url: String,
    val body: ByteArray = ByteArray(0),
    val contentType: String? = null,
    val headers: List<Pair<String, String>> = emptyList(),
    val shared: Boolean = false,
) {
    companion object {
        const val JSON = "application/json"

        /** Encodes [text] as one segment of a path. */
        fun encode(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")
    }
}

/** An answer received to its end. */
internal class WholeAnswer(val status: Int, val contentType: String?, val body: ByteArray)
