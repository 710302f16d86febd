package io.apricotslip.standins.http

import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import reactor.core.publisher.Flux

/** JSON as the stand-ins write and read it. */
internal val wireJson: Json = Json {
    encodeDefaults = true
    explicitNulls = false
    ignoreUnknownKeys = true
}

/** Body of a refusal. */
@Serializable
internal data class ErrorBody(
    val error: String,
    val detail: String? = null,
    val highest: Long? = null,
    val sequence: Long? = null,
)

/** What a handler answers. */
internal sealed class Answer {
    /** JSON [text], with the service's [revision] in `X-Revision` when it has one. */
    data class Text(val status: HttpResponseStatus, val text: String, val revision: Long? = null) : Answer()

    /** A status without a body. */
    data class Empty(val status: HttpResponseStatus) : Answer()

    /** Server-sent events; each element is the data of one event. */
    class Events(val data: Flux<String>) : Answer()

    /** Closes the connection without an answer. */
    data object Drop : Answer()

    companion object {
        /** 200 with [body] as JSON. */
        fun <T> ok(serializer: KSerializer<T>, body: T): Answer = json(HttpResponseStatus.OK, serializer, body)

        /** [body] as JSON. */
        fun <T> json(status: HttpResponseStatus, serializer: KSerializer<T>, body: T): Answer =
            Text(status, wireJson.encodeToString(serializer, body))

        /** A refusal. */
        fun error(status: HttpResponseStatus, body: ErrorBody): Answer = json(status, ErrorBody.serializer(), body)

        /** 204. */
        val Done: Answer = Empty(HttpResponseStatus.NO_CONTENT)
    }
}
