package io.apricotslip.platform

import io.apricotslip.api.fleet.VmList
import io.netty.channel.ChannelOption
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.netty.ByteBufFlux
import reactor.netty.http.client.HttpClient
import reactor.netty.http.client.HttpClientResponse
import reactor.netty.resources.ConnectionProvider
import java.io.ByteArrayOutputStream
import java.net.URLEncoder
import java.time.Duration
import java.util.concurrent.atomic.LongAdder

/**
 * Client of the platform over HTTP/1.1. Each call has a connection of its own, so that one which went silent is never
 * used again.
 *
 * @param configuration address of the configuration service.
 * @param vms address of the list of VMs.
 */
public class HttpPlatformClient(
    private val configuration: PlatformEndpoint,
    private val vms: PlatformEndpoint,
    private val options: PlatformOptions = PlatformOptions(),
) : PlatformClient {
    private val counter = LongAdder()

    private val client: HttpClient = HttpClient.create(ConnectionProvider.newConnection())
        .disableRetry(true)
        .keepAlive(false)
        .followRedirect(false)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, options.timeoutMillis.toInt())

    /** Calls made to the platform so far; a waiting watch counts as one. */
    public val calls: Long get() = counter.sum()

    override fun read(key: String): Mono<PublishedValue> = value(key, after = null)

    override fun readList(): Mono<VmList> = list(after = null)

    override fun watch(key: String): Flux<PublishedValue> =
        Watch(peer(configuration), options, { value(key, it) }, PublishedValue::revision).values()

    override fun watchList(): Flux<VmList> = Watch(peer(vms), options, { list(it) }, { it.revision.value }).values()

    private fun value(key: String, after: Long?): Mono<PublishedValue> =
        get(configuration, "/v1/config/${URLEncoder.encode(key, Charsets.UTF_8)}", after)
            .map { PublishedValue(it.revision ?: fail(configuration, "no X-Revision"), it.text) }

    private fun list(after: Long?): Mono<VmList> = get(vms, "/v1/vms", after)
        .map { VmListText.parse(it.text) }

    private fun get(endpoint: PlatformEndpoint, path: String, after: Long?): Mono<Answer> = Mono.defer {
        counter.increment()
        val wait = if (after == null) 0 else options.watchMillis
        val query = if (after == null) "" else "?after=$after&waitMillis=$wait"
        client.get()
            .uri(base(endpoint) + path + query)
            .response { response, content -> receive(endpoint, response, content) }
            .next()
            .timeout(Duration.ofMillis(wait + options.timeoutMillis))
            .onErrorMap { wrapped(endpoint, if (after == null) "read" else "watch", it) }
    }

    private fun receive(endpoint: PlatformEndpoint, response: HttpClientResponse, content: ByteBufFlux): Mono<Answer> =
        when (val status = response.status().code()) {
            OK -> collect(content).map { Answer(revision(response), it) }
            NOT_MODIFIED -> content.then(Mono.empty())
            else -> Mono.error { fail(endpoint, "status $status") }
        }

    private fun collect(content: ByteBufFlux): Mono<String> = content.asByteArray()
        .collect(::ByteArrayOutputStream) { whole, part ->
            check(whole.size() + part.size <= options.maxValueBytes) { "value over ${options.maxValueBytes} bytes" }
            whole.writeBytes(part)
        }
        .map { it.toString(Charsets.UTF_8) }

    private fun revision(response: HttpClientResponse): Long? =
        response.responseHeaders().get(REVISION_HEADER)?.toLongOrNull()

    private fun fail(endpoint: PlatformEndpoint, reason: String): Nothing =
        throw PlatformException("read", peer(endpoint), reason)

    private fun wrapped(endpoint: PlatformEndpoint, step: String, cause: Throwable): Throwable =
        cause as? PlatformException
            ?: PlatformException(step, peer(endpoint), cause.message ?: cause::class.simpleName.orEmpty(), cause)

    private class Answer(val revision: Long?, val text: String)

    private companion object {
        const val OK = 200
        const val NOT_MODIFIED = 304
        const val REVISION_HEADER = "X-Revision"

        fun peer(endpoint: PlatformEndpoint) = "${endpoint.address}:${endpoint.port}"

        fun base(endpoint: PlatformEndpoint): String =
            if (':' in endpoint.address) "http://[${endpoint.address}]:${endpoint.port}" else "http://${peer(endpoint)}"
    }
}
