package io.apricotslip.backends.http

import io.apricotslip.http.StrictClientCodec
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.HttpHeaderNames
import org.reactivestreams.Publisher
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.netty.ByteBufFlux
import reactor.netty.NettyOutbound
import reactor.netty.NettyPipeline
import reactor.netty.http.client.HttpClient
import reactor.netty.http.client.HttpClientRequest
import reactor.netty.http.client.HttpClientResponse
import reactor.netty.resources.ConnectionProvider
import java.time.Duration

/**
 * Calls backend servers over HTTP/1.1 with a limit on the connections to each. Nothing is sent twice: there are no
 * retries and no redirects, and each call opens its own connection unless [HttpCall.reuseConnection] is set.
 */
internal class HttpBackend(
    name: String,
    maxConnections: Int,
    maxWaiting: Int,
    acquireMillis: Long,
    connectMillis: Int,
) : AutoCloseable {
    private val providerBuilder = ConnectionProvider.builder(name)
        .maxConnections(maxConnections)
        .pendingAcquireMaxCount(maxWaiting)
        .pendingAcquireTimeout(Duration.ofMillis(acquireMillis))

    private val pooled = providerBuilder.name("$name-shared").maxIdleTime(MAX_IDLE_TIME).build()

    /** Closes each connection after its call, even when the backend server offers to keep it alive. */
    private val unpooled =
        providerBuilder.name("$name-single").evictionPredicate { _, use -> use.acquireCount() > 0 }.build()

    private val pooledClient = client(pooled, connectMillis)
    private val unpooledClient = client(unpooled, connectMillis).keepAlive(false)

    /** Sends [call] and streams what [receive] extracts from the response. */
    fun stream(
        call: HttpCall,
        attempt: Attempt,
        receive: (HttpClientResponse, ByteBufFlux) -> Flux<String>,
    ): Flux<String> = prepare(call, attempt).response { response, content -> receive(response, content) }

    /**
     * Sends [call] and collects the whole response. Fails with [BodyTooLargeException] above [maxBytes] and with
     * [ResponseTimeoutException] after [timeoutMillis].
     */
    fun fetch(call: HttpCall, attempt: Attempt, maxBytes: Int, timeoutMillis: Long): Mono<FullResponse> =
        prepare(call, attempt)
            .response { response, content -> collect(response, content, maxBytes) }
            .next()
            .timeout(Duration.ofMillis(timeoutMillis), Mono.error { ResponseTimeoutException(timeoutMillis) })

    override fun close() {
        pooled.dispose()
        unpooled.dispose()
    }

    private fun client(provider: ConnectionProvider, connectMillis: Int): HttpClient = HttpClient.create(provider)
        .disableRetry(true)
        .followRedirect(false)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis)
        .option(ChannelOption.TCP_NODELAY, true)
        .doOnChannelInit { _, channel, _ -> StrictClientCodec.install(channel.pipeline(), NettyPipeline.HttpCodec) }

    private fun prepare(call: HttpCall, attempt: Attempt): HttpClient.ResponseReceiver<*> =
        (if (call.reuseConnection) pooledClient else unpooledClient)
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
        if (!attempt.tryStart()) return Mono.error(AbandonedException())
        return if (call.body.isEmpty()) outbound else outbound.sendByteArray(Mono.just(call.body))
    }

    private fun collect(response: HttpClientResponse, content: ByteBufFlux, maxBytes: Int): Mono<FullResponse> {
        val contentType = response.responseHeaders().get(HttpHeaderNames.CONTENT_TYPE)
        return content.collectBounded(maxBytes)
            .defaultIfEmpty(ByteArray(0))
            .map { FullResponse(response.status().code(), contentType, it) }
    }

    companion object {
        const val STATUS_OK = 200
        private val MAX_IDLE_TIME: Duration = Duration.ofSeconds(2)

        /** Base URL of the backend server at the IPv4 or IPv6 [address]. */
        fun baseUrl(address: String, port: Int): String =
            if (':' in address) "http://[$address]:$port" else "http://$address:$port"
    }
}
