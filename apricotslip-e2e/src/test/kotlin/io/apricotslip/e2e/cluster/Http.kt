package io.apricotslip.e2e.cluster

import io.netty.handler.codec.http.HttpMethod
import reactor.core.publisher.Mono
import reactor.netty.ByteBufMono
import reactor.netty.http.client.HttpClient
import java.net.InetSocketAddress
import java.time.Duration

/** Response to a call through [Http]. */
internal data class HttpReply(val status: Int, val body: String)

/** Blocking HTTP client on loopback for the admin ports of stand-ins and the operator ports of nodes. */
internal object Http {
    private val timeout = Duration.ofSeconds(10)

    fun get(port: Int, path: String): HttpReply = call(HttpMethod.GET, port, path, "")

    fun post(port: Int, path: String, body: String = ""): HttpReply = call(HttpMethod.POST, port, path, body)

    private fun call(method: HttpMethod, port: Int, path: String, body: String): HttpReply = HttpClient
        .newConnection()
        .remoteAddress { InetSocketAddress("127.0.0.1", port) }
        .request(method)
        .uri(path)
        .send(ByteBufMono.fromString(Mono.just(body)))
        .responseSingle { response, content ->
            content.asString().defaultIfEmpty("").map { HttpReply(response.status().code(), it) }
        }.block(timeout)!!
}
