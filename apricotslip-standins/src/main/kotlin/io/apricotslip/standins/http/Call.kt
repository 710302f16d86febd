package io.apricotslip.standins.http

import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import reactor.core.publisher.Mono
import java.time.Duration

/** Fails a call with [status] before any work. */
internal class CallException(val status: HttpResponseStatus, val code: String, detail: String) :
    RuntimeException(detail)

/** One HTTP call as a handler sees it. */
internal class Call(
    private val params: (String) -> String?,
    uri: String,
    headers: (String) -> String?,
    val body: String,
) {
    private val query = QueryStringDecoder(uri).parameters()
    private val header = headers

    /** Header [name], or null. */
    fun header(name: String): String? = header.invoke(name)

    /** Part [name] of the path. */
    fun path(name: String): String = QueryStringDecoder.decodeComponent(params(name).orEmpty())

    /** Query parameter [name], or null. */
    fun query(name: String): String? = query[name]?.firstOrNull()

    /** Query parameter [name] as a whole number that is not negative, or null. */
    fun number(name: String): Long? {
        val text = query(name) ?: return null
        return text.toLongOrNull()?.takeIf { it >= 0 } ?: throw badRequest("$name must be a whole number from 0 up")
    }

    /** Query parameter [name] as a number; the call fails without it. */
    fun requiredNumber(name: String): Long = number(name) ?: throw badRequest("$name is missing")

    /** Query parameter [name] in milliseconds, or zero. */
    fun millis(name: String): Duration = Duration.ofMillis(number(name) ?: 0)

    /** The body read as JSON. */
    fun <T> json(serializer: KSerializer<T>): T = try {
        wireJson.decodeFromString(serializer, body)
    } catch (e: SerializationException) {
        throw badRequest(e.message.orEmpty().lineSequence().first())
    }
}

/** A 400. */
internal fun badRequest(detail: String): CallException =
    CallException(HttpResponseStatus.BAD_REQUEST, "bad_request", detail)

/** HTTP methods that the stand-ins answer. */
internal enum class RouteMethod { GET, POST, DELETE }

/** What answers [method] on [path], which may hold `{name}` parts. */
internal class Route(val method: RouteMethod, val path: String, val handler: (Call) -> Mono<Answer>)

/** Routes of one port. */
internal class Routes {
    private val all = mutableListOf<Route>()

    /** What was added. */
    fun list(): List<Route> = all

    /** Answers GET. */
    fun get(path: String, handler: (Call) -> Mono<Answer>) {
        all += Route(RouteMethod.GET, path, handler)
    }

    /** Answers POST. */
    fun post(path: String, handler: (Call) -> Mono<Answer>) {
        all += Route(RouteMethod.POST, path, handler)
    }

    /** Answers DELETE. */
    fun delete(path: String, handler: (Call) -> Mono<Answer>) {
        all += Route(RouteMethod.DELETE, path, handler)
    }
}

/** Builds routes. */
internal fun routes(block: Routes.() -> Unit): List<Route> = Routes().apply(block).list()
