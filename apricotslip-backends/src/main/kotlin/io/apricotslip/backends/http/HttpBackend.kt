package io.apricotslip.backends.http

import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.HttpHeaderNames
import org.reactivestreams.Publisher
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.netty.ByteBufFlux
import reactor.netty.NettyOutbound
import reactor.netty.http.client.HttpClient
import reactor.netty.http.client.HttpClientRequest
import reactor.netty.http.client.HttpClientResponse
import reactor.netty.resources.ConnectionProvider
import java.time.Duration

/**
 * Calls of backend servers over HTTP/1.1, with a bound on the connections to each. Nothing is sent twice: there are
 * no retries, no redirects, and a call has a connection of its own unless it is [HttpCall.shared].
 */
internal class HttpBackend(
    name: String,
    maxConnections: Int,
    maxWaiting: Int,
    acquireMillis: Long,
    connectMillis: Int,
) : AutoCloseable {
    private val limits = ConnectionProvider.builder(name)
        .maxConnections(maxConnections)
        .pendingAcquireMaxCount(maxWaiting)
        .pendingAcquireTimeout(Duration.ofMillis(acquireMillis))

    private val shared = limits.name("$name-shared").maxIdleTime(MAX_IDLE).build()

    /** Keeps no connection after its call, whatever the backend server says of keeping it. */
    private val single = limits.name("$name-single").evictionPredicate { _, use -> use.acquireCount() > 0 }.build()

    private val sharedClient = client(shared, connectMillis)
    private val singleClient = client(single, connectMillis).keepAlive(false)

    /** Makes [call] and streams what [receive] makes of the answer. */
    fun stream(
        call: HttpCall,
        attempt: Attempt,
        receive: (HttpClientResponse, ByteBufFlux) -> Flux<String>,
    ): Flux<String> = prepare(call, attempt).response { response, content -> receive(response, content) }

    /** Makes [call] and collects an answer of at most [maxBytes], within [millis]. */
    fun whole(call: HttpCall, attempt: Attempt, maxBytes: Int, millis: Long): Mono<WholeAnswer> = prepare(call, attempt)
        .response { response, content -> collect(response, content, maxBytes) }
        .next()
        .timeout(Duration.ofMillis(millis), Mono.error { SilentException(millis) })

    override fun close() {
        shared.dispose()
        single.dispose()
    }

    private fun client(provider: ConnectionProvider, connectMillis: Int): HttpClient = HttpClient.create(provider)
        .disableRetry(true)
        .followRedirect(false)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
        .option(ChannelOption.TCP_NODELAY, true)

    private fun prepare(call: HttpCall, attempt: Attempt): HttpClient.ResponseReceiver<*> =
        (if (call.shared) sharedClient else singleClient)
            .request(call.method)
            .uri(call.url)
            .send { request, outbound -> send(call, attempt, request, outbound) }

    private fun send(
        call: HttpCall,
        attempt: Attempt,
        request: HttpClientRequest,
        outbound: NettyOutbound,
    ): Publisher<Void> {
        request.header(HttpHeaderNames.CONTENT_LENGTH, call.body.size.toString())
        call.contentType?.let { request.header(HttpHeaderNames.CONTENT_TYPE, it) }
        call.headers.forEach { (name, value) -> request.header(name, value) }
        if (!attempt.start()) return Mono.error(GivenUpException())
        return if (call.body.isEmpty()) outbound else outbound.sendByteArray(Mono.just(call.body))
    }

    private fun collect(response: HttpClientResponse, content: ByteBufFlux, maxBytes: Int): Mono<WholeAnswer> {
        val type = response.responseHeaders().get(HttpHeaderNames.CONTENT_TYPE)
        return content.collectBounded(maxBytes)
            .defaultIfEmpty(ByteArray(0))
            .map { WholeAnswer(response.status().code(), type, it) }
    }

    companion object {
        const val OK = 200
        private val MAX_IDLE: Duration = Duration.ofSeconds(2)

        /** URL of the backend server at the IP number [address]. */
        fun baseUrl(address: String, port: Int): String =
            if (':' in address) "http://[$address]:$port" else "http://$address:$port"
    }
}
