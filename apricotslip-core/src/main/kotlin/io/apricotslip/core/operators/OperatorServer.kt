package io.apricotslip.core.operators

import io.apricotslip.api.operators.DrainAnswer
import io.apricotslip.api.operators.ManifestInForce
import io.apricotslip.api.operators.NodeStatus
import io.apricotslip.api.operators.RefusedManifest
import io.apricotslip.api.operators.RunningRequest
import io.apricotslip.settings.OperatorSettings
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.reactivestreams.Publisher
import reactor.core.publisher.Mono
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import reactor.netty.http.server.HttpServerRoutes
import java.security.MessageDigest
import java.time.Duration

/** What the operators' port asks of the node; each answer is made on the node's loop. */
internal interface OperatorView {
    fun status(): Mono<NodeStatus>

    fun manifest(): Mono<ManifestInForce>

    fun refused(): Mono<List<RefusedManifest>>

    fun running(): Mono<List<RunningRequest>>

    fun drain(): Mono<DrainAnswer>

    fun metrics(): Mono<String>
}

/** The operators' port. With keys, each call needs one; without, only loopback addresses are answered. */
internal class OperatorServer(private val settings: OperatorSettings, private val view: OperatorView) {
    /** Starts to listen. */
    fun start(): DisposableServer = HttpServer
        .create()
        .host(settings.address)
        .port(settings.port)
        .idleTimeout(Duration.ofSeconds(IDLE_SECONDS))
        .route(::routes)
        .bindNow(Duration.ofSeconds(BIND_SECONDS))

    private fun routes(routes: HttpServerRoutes) {
        routes
            .get("/healthz") { _, o -> text(o, OK, Mono.just("ok\n")) }
            .get("/readyz") { _, o -> ready(o) }
            .get("/metrics") { i, o -> allowed(i, o) { text(o, OK, view.metrics()) } }
            .get("/v1/status") { i, o -> allowed(i, o) { json(o, view.status(), NodeStatus.serializer()) } }
            .get("/v1/manifest") { i, o -> allowed(i, o) { json(o, view.manifest(), ManifestInForce.serializer()) } }
            .get("/v1/refused") { i, o ->
                allowed(i, o) { json(o, view.refused(), ListSerializer(RefusedManifest.serializer())) }
            }
            .get("/v1/running") { i, o ->
                allowed(i, o) { json(o, view.running(), ListSerializer(RunningRequest.serializer())) }
            }
            .post("/v1/drain") { i, o -> allowed(i, o) { json(o, view.drain(), DrainAnswer.serializer()) } }
    }

    private fun ready(response: HttpServerResponse): Publisher<Void> = view.status().flatMap { status ->
        val ready = status.notReady.isEmpty()
        val body = if (ready) "ready\n" else status.notReady.joinToString("\n", postfix = "\n")
        Mono.from(text(response, if (ready) OK else UNAVAILABLE, Mono.just(body)))
    }

    private fun allowed(
        request: HttpServerRequest,
        response: HttpServerResponse,
        answer: () -> Publisher<Void>,
    ): Publisher<Void> {
        if (settings.keys.isNotEmpty()) {
            return if (hasKey(request)) answer() else text(response, UNAUTHORIZED, Mono.just("a key is needed\n"))
        }
        val remote = request.remoteAddress()
        val local = remote?.address?.isLoopbackAddress == true
        return if (local) answer() else text(response, FORBIDDEN, Mono.just("only loopback is answered without keys\n"))
    }

    private fun hasKey(request: HttpServerRequest): Boolean {
        val given = request.requestHeaders()[HttpHeaderNames.AUTHORIZATION]?.removePrefix("Bearer ") ?: return false
        return settings.keys.any { MessageDigest.isEqual(it.toByteArray(), given.toByteArray()) }
    }

    private fun <T : Any> json(
        response: HttpServerResponse,
        value: Mono<T>,
        serializer: KSerializer<T>,
    ): Publisher<Void> = response
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .sendString(value.map { json.encodeToString(serializer, it) })

    private fun text(response: HttpServerResponse, status: Int, body: Mono<String>): Publisher<Void> = response
        .status(status)
        .header(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
        .sendString(body)

    private companion object {
        const val OK = 200
        const val UNAUTHORIZED = 401
        const val FORBIDDEN = 403
        const val UNAVAILABLE = 503
        const val IDLE_SECONDS = 30L
        const val BIND_SECONDS = 10L
        val json = Json { encodeDefaults = true }
    }
}
