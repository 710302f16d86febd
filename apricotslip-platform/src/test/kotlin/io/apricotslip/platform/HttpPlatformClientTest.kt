package io.apricotslip.platform

import io.apricotslip.api.id.ListRevision
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.reactivestreams.Publisher
import reactor.core.publisher.Mono
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerResponse
import reactor.netty.http.server.HttpServerRoutes
import reactor.netty.tcp.TcpServer
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isTrue
import strikt.assertions.startsWith
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

class HttpPlatformClientTest {
    private val shortTimeout =
        PlatformOptions(watchMillis = 100, timeoutMillis = 300, retryMillis = 10, maxValueBytes = 1_000)
    private val longTimeout = shortTimeout.copy(timeoutMillis = 20_000)
    private var server: DisposableServer? = null

    private fun client(
        options: PlatformOptions = shortTimeout,
        routes: (HttpServerRoutes) -> Unit,
    ): HttpPlatformClient {
        val bound = HttpServer.create().host("127.0.0.1").port(0).route(routes).bindNow()
        server = bound
        val endpoint = PlatformEndpoint("127.0.0.1", bound.port())
        return HttpPlatformClient(endpoint, endpoint, options)
    }

    @AfterEach
    fun close() {
        server?.disposeNow()
    }

    @Test
    fun `a value is read with its revision`() {
        val client = client(longTimeout) { routes ->
            routes.get("/v1/config/manifest") { _, out -> out.header("X-Revision", "7").sendString(Mono.just("text")) }
        }
        expectThat(client.read("manifest").block()).isEqualTo(PublishedValue(7, "text"))
        expectThat(client.calls).isEqualTo(1)
    }

    @Test
    fun `a watch emits each revision and continues after failures`() {
        val calls = AtomicInteger()
        val client = client(longTimeout) { routes ->
            routes.get("/v1/vms") { _, out ->
                when (val n = calls.incrementAndGet()) {
                    2, 4 -> out.status(503).send()
                    3 -> out.status(304).send()
                    else -> out.sendString(Mono.just("""{"revision":$n,"vms":[]}"""))
                }
            }
        }
        val lists = client.watchList().take(3).collectList().block()
        expectThat(lists.orEmpty().map { it.revision })
            .containsExactly(ListRevision(1), ListRevision(5), ListRevision(6))
    }

    @TestFactory
    fun `a failed read names the step and the address`() =
        listOf<Pair<String, (HttpServerResponse) -> Publisher<Void>>>(
            "not found" to { it.status(404).send() },
            "too many calls" to { it.status(429).send() },
            "no revision" to { it.sendString(Mono.just("text")) },
            "a value that is too long" to { it.header("X-Revision", "1").sendString(Mono.just("x".repeat(2_000))) },
            "a connection that goes silent" to { Mono.never() },
            "half a response" to { it.header("Content-Length", "9").sendString(Mono.just("x")).then(Mono.never()) },
        ).map { (name, answer) ->
            DynamicTest.dynamicTest(name) {
                val client = client { routes -> routes.get("/v1/config/manifest") { _, out -> answer(out) } }
                expectCatching { client.read("manifest").block() }.isFailure().isA<PlatformException>().and {
                    get { step }.isEqualTo("read")
                    get { peer }.startsWith("127.0.0.1:")
                }
                close()
            }
        }

    @TestFactory
    fun `a read fails when the head of its answer is broken`() = listOf(
        "status 0200" to "HTTP/1.1 0200 OK\r\nX-Revision: 7\r\nContent-Length: 4\r\n\r\ntext",
        "a blank in a name" to "HTTP/1.1 200 OK\r\nX-Revision x: 7\r\nContent-Length: 4\r\n\r\ntext",
        "a blank after a name" to "HTTP/1.1 200 OK\r\nX-Revision: 7\r\nContent-Length : 2\r\n\r\ntext",
    ).map { (name, answer) ->
        DynamicTest.dynamicTest(name) {
            val raw = TcpServer.create().host("127.0.0.1").port(0)
                .handle { input, out -> input.receive().take(1).thenMany(out.sendString(Mono.just(answer))) }
                .bindNow()
            val endpoint = PlatformEndpoint("127.0.0.1", raw.port())
            val client = HttpPlatformClient(endpoint, endpoint, longTimeout)
            expectCatching { client.read("manifest").block() }.isFailure().isA<PlatformException>()
            raw.disposeNow()
        }
    }

    @Test
    fun `a watch continues on a new connection when a connection goes silent`() {
        val calls = AtomicInteger()
        val wasSilent = AtomicBoolean()
        val client = client { routes ->
            routes.get("/v1/vms") { request, out ->
                val silent = "after=" in request.uri() && wasSilent.compareAndSet(false, true)
                val list = """{"revision":${calls.incrementAndGet()},"vms":[]}"""
                if (silent) Mono.never() else out.sendString(Mono.just(list))
            }
        }
        val lists = client.watchList().take(2).collectList().block()
        expectThat(lists.orEmpty()).hasSize(2)
        expectThat(wasSilent.get()).isTrue()
    }
}
