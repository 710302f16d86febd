package io.apricotslip.standins.http

import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import reactor.core.publisher.Mono
import java.time.Duration

/** Rejects a call with [status] and the error [code] before the handler does any work. */
internal class CallException(val status: HttpResponseStatus, val code: String, detail: String) :
    RuntimeException(detail)

/** One HTTP request as a handler sees it. */
internal class Call(
    private val params: (String) -> String?,
    uri: String,
    headers: (String) -> String?,
    val body: String,
) {
    private val query = QueryStringDecoder(uri).parameters()
    private val headerLookup = headers

    /** Value of header [name], or null. */
    fun header(name: String): String? = headerLookup(name)

    /** Decoded value of the path parameter [name], or an empty string. */
    fun path(name: String): String = QueryStringDecoder.decodeComponent(params(name).orEmpty())

    /** First value of the query parameter [name], or null. */
    fun query(name: String): String? = query[name]?.firstOrNull()

    /** Query parameter [name] as a non-negative integer, or null if it is absent. Any other value is a 400. */
    fun number(name: String): Long? {
        val text = query(name) ?: return null
        return text.toLongOrNull()?.takeIf { it >= 0 } ?: throw badRequest("$name must be a whole number from 0 up")
    }

    /** Query parameter [name] as a non-negative integer. A missing parameter is a 400. */
    fun requiredNumber(name: String): Long = number(name) ?: throw badRequest("$name is missing")

    /** Query parameter [name], in milliseconds, as a duration; zero if it is absent. */
    fun millis(name: String): Duration = Duration.ofMillis(number(name) ?: 0)

    /** The body parsed as JSON. A malformed body is a 400. */
    fun <T> json(serializer: KSerializer<T>): T = try {
        wireJson.decodeFromString(serializer, body)
    } catch (e: SerializationException) {
        throw badRequest(e.message.orEmpty().lineSequence().first())
    }
}

/** Exception for a 400 response. */
internal fun badRequest(detail: String): CallException =
    CallException(HttpResponseStatus.BAD_REQUEST, "bad_request", detail)

/** HTTP methods that a stand-in supports. */
internal enum class RouteMethod { GET, POST, DELETE }

/** Binds [handler] to [method] and [path]; the path may contain parameters in the form `{name}`. */
internal class Route(val method: RouteMethod, val path: String, val handler: (Call) -> Mono<Answer>)

/** Builder for the routes of one port. */
internal class Routes {
    private val all = mutableListOf<Route>()

    /** Routes added so far. */
    fun list(): List<Route> = all

    /** Adds a GET route. */
    fun get(path: String, handler: (Call) -> Mono<Answer>) {
        all += Route(RouteMethod.GET, path, handler)
    }

    /** Adds a POST route. */
    fun post(path: String, handler: (Call) -> Mono<Answer>) {
        all += Route(RouteMethod.POST, path, handler)
    }

    /** Adds a DELETE route. */
    fun delete(path: String, handler: (Call) -> Mono<Answer>) {
        all += Route(RouteMethod.DELETE, path, handler)
    }
}

/** Builds the list of routes that [block] adds. */
internal fun routes(block: Routes.() -> Unit): List<Route> = Routes().apply(block).list()
