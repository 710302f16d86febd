package io.apricotslip.platform

import io.apricotslip.api.fleet.VmList
import io.apricotslip.http.StrictClientCodec
import io.netty.channel.ChannelOption
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.netty.ByteBufFlux
import reactor.netty.NettyPipeline
import reactor.netty.http.client.HttpClient
import reactor.netty.http.client.HttpClientResponse
import reactor.netty.resources.ConnectionProvider
import java.io.ByteArrayOutputStream
import java.net.URLEncoder
import java.time.Duration
import java.util.concurrent.atomic.LongAdder

/**
 * Client of the platform over HTTP/1.1. Each call opens its own connection, so that a half-open connection is never
 * reused.
 *
 * @param configuration endpoint of the configuration service.
 * @param vms endpoint of the list of VMs.
 */
public class HttpPlatformClient(
    private val configuration: PlatformEndpoint,
    private val vms: PlatformEndpoint,
    private val options: PlatformOptions = PlatformOptions(),
) : PlatformClient {
    private val callCounter = LongAdder()

    private val client: HttpClient = HttpClient.create(ConnectionProvider.newConnection())
        .disableRetry(true)
        .keepAlive(false)
        .followRedirect(false)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, options.timeoutMillis.toInt())
        .doOnChannelInit { _, channel, _ -> StrictClientCodec.install(channel.pipeline(), NettyPipeline.HttpCodec) }

    /** Number of calls made to the platform; each poll of a watch counts as one call. */
    public val calls: Long get() = callCounter.sum()

    override fun read(key: String): Mono<PublishedValue> = value(key, after = null)

    override fun readList(): Mono<VmList> = list(after = null)

    override fun watch(key: String): Flux<PublishedValue> =
        Watch(peer(configuration), options, { value(key, it) }, PublishedValue::revision).values()

    override fun watchList(): Flux<VmList> = Watch(peer(vms), options, { list(it) }, { it.revision.value }).values()

    private fun value(key: String, after: Long?): Mono<PublishedValue> =
        get(configuration, "/v1/config/${URLEncoder.encode(key, Charsets.UTF_8)}", after)
            .map { PublishedValue(it.revision ?: fail(configuration, "no X-Revision"), it.text) }

    private fun list(after: Long?): Mono<VmList> = get(vms, "/v1/vms", after)
        .map { VmListParser.parse(it.text) }

    private fun get(endpoint: PlatformEndpoint, path: String, after: Long?): Mono<Answer> = Mono.defer {
        callCounter.increment()
        val waitMillis = if (after == null) 0 else options.watchMillis
        val query = if (after == null) "" else "?after=$after&waitMillis=$waitMillis"
        client.get()
            .uri(baseUrl(endpoint) + path + query)
            .response { response, content -> receive(endpoint, response, content) }
            .next()
            .timeout(Duration.ofMillis(waitMillis + options.timeoutMillis))
            .onErrorMap { toPlatformException(endpoint, if (after == null) "read" else "watch", it) }
    }

    private fun receive(endpoint: PlatformEndpoint, response: HttpClientResponse, content: ByteBufFlux): Mono<Answer> =
        when (val status = response.status().code()) {
            STATUS_OK -> collect(content).map { Answer(revision(response), it) }
            STATUS_NOT_MODIFIED -> content.then(Mono.empty())
            else -> Mono.error { fail(endpoint, "status $status") }
        }

    private fun collect(content: ByteBufFlux): Mono<String> = content.asByteArray()
        .collect(::ByteArrayOutputStream) { buffer, chunk ->
            check(buffer.size() + chunk.size <= options.maxValueBytes) { "value over ${options.maxValueBytes} bytes" }
            buffer.writeBytes(chunk)
        }
        .map { it.toString(Charsets.UTF_8) }

    private fun revision(response: HttpClientResponse): Long? =
        response.responseHeaders().get(REVISION_HEADER)?.toLongOrNull()

    private fun fail(endpoint: PlatformEndpoint, reason: String): Nothing =
        throw PlatformException("read", peer(endpoint), reason)

    private fun toPlatformException(endpoint: PlatformEndpoint, step: String, cause: Throwable): Throwable =
        cause as? PlatformException
            ?: PlatformException(step, peer(endpoint), cause.message ?: cause::class.simpleName.orEmpty(), cause)

    private class Answer(val revision: Long?, val text: String)

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_NOT_MODIFIED = 304
        const val REVISION_HEADER = "X-Revision"

        fun peer(endpoint: PlatformEndpoint) = "${endpoint.address}:${endpoint.port}"

        fun baseUrl(endpoint: PlatformEndpoint): String =
            if (':' in endpoint.address) "http://[${endpoint.address}]:${endpoint.port}" else "http://${peer(endpoint)}"
    }
}
