package io.apricotslip.cli

import reactor.core.publisher.Mono
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer

/**
 * Stub of a node's operators' port. [answers] maps method and path, such as `GET /v1/status`, to the response: a number
 * is sent as the status code, other text as the body. A call without an entry is never answered. When [key] is set,
 * calls without it as bearer token get status 401.
 */
internal class StubNode(private val answers: Map<String, String>, private val key: String? = null) : AutoCloseable {
    private val server: DisposableServer =
        HttpServer
            .create()
            .host("127.0.0.1")
            .port(0)
            .handle { request, response ->
                val body = answers["${request.method()} ${request.uri()}"]
                when {
                    key != null && request.requestHeaders()["Authorization"] != "Bearer $key" -> response.status(
                        401,
                    ).send()
                    body == null -> Mono.never()
                    body.toIntOrNull() != null -> response.status(body.toInt()).send()
                    else -> response.sendString(Mono.just(body)).then()
                }
            }.bindNow()

    val address: String get() = "127.0.0.1:${server.port()}"

    override fun close() = server.disposeNow()
}
