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

/** Operations behind the operators' port; each answer is built on the node loop. */
internal interface OperatorView {
    fun status(): Mono<NodeStatus>

    fun manifest(): Mono<ManifestInForce>

    fun refused(): Mono<List<RefusedManifest>>

    fun running(): Mono<List<RunningRequest>>

    fun drain(): Mono<DrainAnswer>

    fun metrics(): Mono<String>
}

/**
 * HTTP server of the operators' port. If keys are configured, every path but `/healthz` and `/readyz` requires one as a
 * bearer token; otherwise these paths are answered for loopback addresses only.
 */
internal class OperatorServer(private val settings: OperatorSettings, private val view: OperatorView) {
    /** Binds the port and starts to accept connections; blocks until it is bound. */
    fun start(): DisposableServer = HttpServer
        .create()
        .host(settings.address)
        .port(settings.port)
        .idleTimeout(Duration.ofSeconds(IDLE_TIMEOUT_SECONDS))
        .route(::addRoutes)
        .bindNow(Duration.ofSeconds(BIND_TIMEOUT_SECONDS))

    private fun addRoutes(routes: HttpServerRoutes) {
        routes
            .get("/healthz") { _, res -> sendText(res, OK, Mono.just("ok\n")) }
            .get("/readyz") { _, res -> sendReadiness(res) }
            .get("/metrics") { req, res -> authorized(req, res) { sendText(res, OK, view.metrics()) } }
            .get("/v1/status") { req, res ->
                authorized(req, res) { sendJson(res, view.status(), NodeStatus.serializer()) }
            }
            .get("/v1/manifest") { req, res ->
                authorized(req, res) { sendJson(res, view.manifest(), ManifestInForce.serializer()) }
            }
            .get("/v1/refused") { req, res ->
                authorized(req, res) { sendJson(res, view.refused(), ListSerializer(RefusedManifest.serializer())) }
            }
            .get("/v1/running") { req, res ->
                authorized(req, res) { sendJson(res, view.running(), ListSerializer(RunningRequest.serializer())) }
            }
            .post("/v1/drain") { req, res ->
                authorized(req, res) { sendJson(res, view.drain(), DrainAnswer.serializer()) }
            }
    }

    private fun sendReadiness(response: HttpServerResponse): Publisher<Void> = view.status().flatMap { status ->
        val ready = status.notReady.isEmpty()
        val body = if (ready) "ready\n" else status.notReady.joinToString("\n", postfix = "\n")
        Mono.from(sendText(response, if (ready) OK else SERVICE_UNAVAILABLE, Mono.just(body)))
    }

    private fun authorized(
        request: HttpServerRequest,
        response: HttpServerResponse,
        answer: () -> Publisher<Void>,
    ): Publisher<Void> {
        if (settings.keys.isNotEmpty()) {
            return if (hasKey(request)) answer() else sendText(response, UNAUTHORIZED, Mono.just("a key is needed\n"))
        }
        val remote = request.remoteAddress()
        val loopback = remote?.address?.isLoopbackAddress == true
        return if (loopback) {
            answer()
        } else {
            sendText(response, FORBIDDEN, Mono.just("only loopback is answered without keys\n"))
        }
    }

    private fun hasKey(request: HttpServerRequest): Boolean {
        val presentedKey =
            request.requestHeaders()[HttpHeaderNames.AUTHORIZATION]?.removePrefix("Bearer ") ?: return false
        return settings.keys.any { MessageDigest.isEqual(it.toByteArray(), presentedKey.toByteArray()) }
    }

    private fun <T : Any> sendJson(
        response: HttpServerResponse,
        value: Mono<T>,
        serializer: KSerializer<T>,
    ): Publisher<Void> = response
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .sendString(value.map { json.encodeToString(serializer, it) })

    private fun sendText(response: HttpServerResponse, status: Int, body: Mono<String>): Publisher<Void> = response
        .status(status)
        .header(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
        .sendString(body)

    private companion object {
        const val OK = 200
        const val UNAUTHORIZED = 401
        const val FORBIDDEN = 403
        const val SERVICE_UNAVAILABLE = 503
        const val IDLE_TIMEOUT_SECONDS = 30L
        const val BIND_TIMEOUT_SECONDS = 10L
        val json = Json { encodeDefaults = true }
    }
}
