package io.apricotslip.cli.node

import io.apricotslip.http.StrictClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.netty.NettyPipeline
import reactor.netty.http.client.HttpClient
import java.net.InetSocketAddress
import java.time.Duration
import java.util.concurrent.TimeoutException

/**
 * HTTP client for the operators' ports of nodes.
 *
 * @param key bearer token, or null to send none.
 * @param timeout time limit per node, from the connection attempt to the end of the response body.
 */
internal class NodeClient(private val key: String?, private val timeout: Duration) {
    /** Ignores unknown keys, because newer nodes may send fields that this client does not know. */
    private val json = Json { ignoreUnknownKeys = true }
    private val http = HttpClient.newConnection()
        .doOnChannelInit { _, channel, _ -> StrictClientCodec.install(channel.pipeline(), NettyPipeline.HttpCodec) }
        .headers { if (key != null) it.set(HttpHeaderNames.AUTHORIZATION, "Bearer $key") }

    /** Calls all [nodes] concurrently and blocks; the replies are in the order of [nodes]. Failures become replies. */
    fun <T> call(nodes: List<NodeAddress>, call: OperatorCall<T>): List<NodeReply<T>> =
        Flux.fromIterable(nodes).flatMapSequential { call(it, call) }.collectList().block().orEmpty()

    private fun <T> call(node: NodeAddress, call: OperatorCall<T>): Mono<NodeReply<T>> = http
        .remoteAddress { InetSocketAddress.createUnresolved(node.host, node.port) }
        .request(call.method)
        .uri(call.path)
        .responseSingle { response, body ->
            body.asString().defaultIfEmpty("").map { reply(node, call, response.status(), it) }
        }.timeout(timeout)
        .onErrorResume { Mono.just(NodeReply.Failed(node, call.step, failureReason(it))) }

    private fun <T> reply(
        node: NodeAddress,
        call: OperatorCall<T>,
        status: HttpResponseStatus,
        body: String,
    ): NodeReply<T> = when (status) {
        HttpResponseStatus.OK -> decode(node, call, body)
        HttpResponseStatus.UNAUTHORIZED -> NodeReply.NotAuthorized(node, call.step, unauthorizedReason())
        HttpResponseStatus.FORBIDDEN -> NodeReply.NotAuthorized(node, call.step, "answers only loopback addresses")
        else -> NodeReply.Failed(node, call.step, "answered $status")
    }

    private fun <T> decode(node: NodeAddress, call: OperatorCall<T>, body: String): NodeReply<T> = try {
        NodeReply.Answered(node, json.decodeFromString(call.serializer, body))
    } catch (e: SerializationException) {
        NodeReply.Failed(node, call.step, "answered something else: ${e.message.orEmpty().lineSequence().first()}")
    }

    private fun unauthorizedReason(): String =
        if (key == null) "needs a key: give --key-file" else "does not know the key of --key-file"

    private fun failureReason(e: Throwable): String =
        if (e is TimeoutException) "no answer within ${timeout.toMillis()} ms" else e.message ?: e.javaClass.simpleName
}
