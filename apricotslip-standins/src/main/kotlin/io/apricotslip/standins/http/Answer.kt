package io.apricotslip.standins.http

import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import reactor.core.publisher.Flux

/** JSON format of the HTTP bodies: writes defaults, omits nulls and ignores unknown keys. */
internal val wireJson: Json = Json {
    encodeDefaults = true
    explicitNulls = false
    ignoreUnknownKeys = true
}

/** Body of an error response. */
@Serializable
internal data class ErrorBody(
    val error: String,
    val detail: String? = null,
    val highest: Long? = null,
    val sequence: Long? = null,
)

/** Response that a route handler returns. */
internal sealed class Answer {
    /** JSON [text]; a [revision] is sent in the header `X-Revision`. */
    data class Text(val status: HttpResponseStatus, val text: String, val revision: Long? = null) : Answer()

    /** Response without a body. */
    data class Empty(val status: HttpResponseStatus) : Answer()

    /** Server-sent events; each element is the data of one event. */
    class Events(val data: Flux<String>) : Answer()

    /** Closes the connection without a response. */
    data object Drop : Answer()

    companion object {
        /** 200 with [body] as JSON. */
        fun <T> ok(serializer: KSerializer<T>, body: T): Answer = json(HttpResponseStatus.OK, serializer, body)

        /** Response with [status] and [body] as JSON. */
        fun <T> json(status: HttpResponseStatus, serializer: KSerializer<T>, body: T): Answer =
            Text(status, wireJson.encodeToString(serializer, body))

        /** Error response with [status]. */
        fun error(status: HttpResponseStatus, body: ErrorBody): Answer = json(status, ErrorBody.serializer(), body)

        /** 204 No Content. */
        val Done: Answer = Empty(HttpResponseStatus.NO_CONTENT)
    }
}
