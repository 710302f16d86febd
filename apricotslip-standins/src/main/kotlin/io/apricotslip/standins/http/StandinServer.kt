package io.apricotslip.standins.http

import io.apricotslip.standins.settings.StandinSettings
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.netty.ChannelBindException
import reactor.netty.DisposableServer
import reactor.netty.http.server.HttpServer
import reactor.netty.http.server.HttpServerRequest
import reactor.netty.http.server.HttpServerResponse
import reactor.netty.http.server.HttpServerRoutes
import java.io.ByteArrayOutputStream
import java.time.Duration

private const val MAX_BODY_BYTES = 2 * 1_048_576
private val stopTimeout = Duration.ofSeconds(1)

/** HTTP server of one stand-in, with a service port and an admin port. */
internal class StandinServer(private val settings: StandinSettings) {
    private val connectionGate = ConnectionGate()
    private lateinit var service: DisposableServer
    private lateinit var admin: DisposableServer
    private lateinit var serviceRoutes: List<Route>

    /** TCP port of the service. */
    val port: Int get() = service.port()

    /** TCP port of the admin endpoints. */
    val adminPort: Int get() = admin.port()

    /** Binds both ports. If the admin port cannot be bound, closes the service port again and throws. */
    fun start(serviceRoutes: List<Route>, adminRoutes: List<Route>) {
        this.serviceRoutes = serviceRoutes
        service = bind(settings.address, settings.port, serviceRoutes, connectionGate)
        admin = try {
            bind(settings.admin.address, settings.admin.port, adminRoutes, gate = null)
        } catch (e: ChannelBindException) {
            service.disposeNow(stopTimeout)
            throw e
        }
    }

    /** Stops listening on the service port and closes its open connections. */
    fun stopListening() {
        service.channel().close()
        connectionGate.closeAll()
    }

    /** Rebinds the service port if it is not listening. */
    fun resumeListening() {
        if (service.channel().isOpen) return
        service = bind(settings.address, service.port(), serviceRoutes, connectionGate)
    }

    /** Silences the open connections of the service permanently; returns the number newly silenced. */
    fun silence(): Int = connectionGate.silence()

    /** Closes the open connections of the service and goes on listening. */
    fun closeConnections() {
        connectionGate.closeAll()
    }

    /** Closes the open connections and stops listening on both ports permanently. */
    fun stop() {
        connectionGate.closeAll()
        service.disposeNow(stopTimeout)
        admin.disposeNow(stopTimeout)
    }

    private fun bind(address: String, port: Int, routes: List<Route>, gate: ConnectionGate?): DisposableServer {
        val server = HttpServer.create().host(address).port(port).runOn(httpThreads)
        val gated = if (gate == null) server else server.doOnChannelInit { _, channel, _ -> gate.admit(channel) }
        return gated
            .route { table -> routes.forEach { register(it, table) } }
            .bindNow()
    }

    private fun register(route: Route, table: HttpServerRoutes) {
        val serve = { request: HttpServerRequest, response: HttpServerResponse -> serve(route, request, response) }
        when (route.method) {
            RouteMethod.GET -> table.get(route.path, serve)
            RouteMethod.POST -> table.post(route.path, serve)
            RouteMethod.DELETE -> table.delete(route.path, serve)
        }
    }

    private fun serve(route: Route, request: HttpServerRequest, response: HttpServerResponse): Mono<Void> =
        readBody(request)
            .flatMap { body ->
                val call = Call(request::param, request.uri(), request.requestHeaders()::get, body)
                Mono.defer { route.handler(call) }
            }.onErrorResume { e -> Mono.just(errorAnswer(route, e)) }
            .flatMap { send(it, response) }

    private fun errorAnswer(route: Route, e: Throwable): Answer {
        if (e is CallException) return Answer.error(e.status, ErrorBody(e.code, detail = e.message))
        Logger.error(e) { "event=call_failed standin=${settings.id} step=${route.path} reason=\"${e.message}\"" }
        return Answer.error(HttpResponseStatus.INTERNAL_SERVER_ERROR, ErrorBody("internal", detail = e.message))
    }

    private fun send(answer: Answer, response: HttpServerResponse): Mono<Void> = when (answer) {
        is Answer.Text -> sendText(answer, response)
        is Answer.Empty -> response.status(answer.status).send()
        is Answer.Events -> sendEvents(answer.data, response)
        is Answer.Drop -> Mono.fromRunnable { response.withConnection { it.channel().close() } }
    }

    private fun sendText(answer: Answer.Text, response: HttpServerResponse): Mono<Void> {
        val bytes = answer.text.toByteArray()
        answer.revision?.let { response.header("X-Revision", it.toString()) }
        return response
            .status(answer.status)
            .header(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            .header(HttpHeaderNames.CONTENT_LENGTH, bytes.size.toString())
            .sendByteArray(Mono.just(bytes))
            .then()
    }

    private fun sendEvents(data: Flux<String>, response: HttpServerResponse): Mono<Void> = response
        .status(HttpResponseStatus.OK)
        .header(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_EVENT_STREAM)
        .sendHeaders()
        .send(data.map(::event)) { true }
        .then()

    private fun event(data: String): ByteBuf = Unpooled.wrappedBuffer("data: $data\n\n".toByteArray())

    private fun readBody(request: HttpServerRequest): Mono<String> = request
        .receive()
        .asByteArray()
        .collect(::ByteArrayOutputStream) { all, bytes ->
            if (all.size() + bytes.size > MAX_BODY_BYTES) {
                throw CallException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too_large", "body over the limit")
            }
            all.write(bytes)
        }.map { it.toString(Charsets.UTF_8) }
}
