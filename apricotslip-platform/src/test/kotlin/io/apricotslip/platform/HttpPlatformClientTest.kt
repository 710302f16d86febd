package io.apricotslip.platform

import io.apricotslip.api.id.ListRevision
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import reactor.core.publisher.Mono
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerRoutes
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.util.concurrent.atomic.AtomicInteger

class HttpPlatformClientTest {
    private var server: DisposableServer? = null

    private fun client(routes: (HttpServerRoutes) -> Unit): HttpPlatformClient {
        val bound = HttpServer.create().host("127.0.0.1").port(0).route(routes).bindNow()
        server = bound
        val endpoint = PlatformEndpoint("127.0.0.1", bound.port())
        return HttpPlatformClient(endpoint, endpoint, PlatformOptions(watchMillis = 100, retryMillis = 10))
    }

    @AfterEach
    fun close() {
        server?.disposeNow()
    }

    @Test
    fun `a value is read with its revision`() {
        val client = client { routes ->
            routes.get("/v1/config/manifest") { _, out -> out.header("X-Revision", "7").sendString(Mono.just("text")) }
        }
        expectThat(client.read("manifest").block()).isEqualTo(PublishedValue(7, "text"))
        expectThat(client.calls).isEqualTo(1)
    }

    @Test
    fun `a watch passes on each revision and survives failures`() {
        val calls = AtomicInteger()
        val client = client { routes ->
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
}
