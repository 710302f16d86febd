package io.apricotslip.e2e.caller

import io.apricotslip.e2e.cluster.NodeProcess
import io.apricotslip.standins.engine.AnswerText
import io.apricotslip.testutils.history.CallerRecorder
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.netty.ByteBufFlux
import reactor.netty.ByteBufMono
import reactor.netty.http.client.HttpClient
import reactor.netty.http.client.HttpClientResponse
import java.net.InetSocketAddress
import java.time.Duration

/**
 * Sends requests as callers do, each on a new connection, and records the outcomes. Network errors and timeouts are
 * recorded too, so that the returned publishers never fail on them.
 */
internal class CallerClient(private val recorder: CallerRecorder) {
    /** Sends [completion] to [node] and reads the streamed answer; completes when the answer ends. */
    fun stream(completion: CompletionRequest, node: NodeProcess): Mono<Void> = Mono.defer {
        val reader = StreamReader(completion.requestId, recorder)
        val expected = AnswerText.fullText(completion.adapterVersion, completion.prompt, completion.maxTokens)
        recorder.invoke(completion.requestId, completion.adapterVersion, expected, node.vm)
        http(node)
            .headers {
                it.set("X-Request-Id", completion.requestId)
                it.set("X-Apricotslip-Class", completion.workClass.label)
                it.set("X-Apricotslip-Deadline-Millis", completion.deadlineMillis)
            }.post()
            .uri("/v1/completions")
            .send(ByteBufMono.fromString(Mono.just(body(completion))))
            .response { response, content -> readAnswer(reader, response, content) }
            .timeout(Mono.delay(Duration.ofMillis(completion.deadlineMillis) + HANG_MARGIN), { Mono.never<Void>() })
            .doOnComplete { reader.onEnd() }
            .onErrorResume { e ->
                reader.onEnd(e)
                Mono.empty()
            }.then()
    }

    /** Sends a reservation with the idempotency [key] to [node] and records its outcome. */
    fun reserve(request: String, key: String, node: NodeProcess, deadlineMillis: Long = 10_000): Mono<Void> =
        Mono.defer {
            recorder.invokeReservation(request, key, node.vm)
            http(node)
                .headers {
                    it.set("X-Request-Id", request)
                    it.set("Idempotency-Key", key)
                    it.set("Content-Type", "application/json")
                    it.set("X-Apricotslip-Deadline-Millis", deadlineMillis)
                }.post()
                .uri("/services/booking/v1/reservations")
                .send(ByteBufMono.fromString(Mono.just("""{"tandem":7}""")))
                .responseSingle { response, content ->
                    content.asString().defaultIfEmpty("").doOnNext { recordReservation(request, key, response, it) }
                }.timeout(Duration.ofMillis(deadlineMillis) + HANG_MARGIN)
                .onErrorResume { e ->
                    val detail = if (e is java.util.concurrent.TimeoutException) "hang" else "connection"
                    recorder.refused(request, "unknown", detail, key)
                    Mono.empty()
                }.then()
        }

    private fun http(node: NodeProcess): HttpClient =
        HttpClient.newConnection().remoteAddress { InetSocketAddress("127.0.0.1", node.callerPort) }

    private fun readAnswer(reader: StreamReader, response: HttpClientResponse, content: ByteBufFlux): Flux<Void> {
        reader.headers = AnswerHeaders.of(response.responseHeaders())
        val status = response.status().code()
        if (status == HTTP_OK) return content.asString().doOnNext(reader::onBody).thenMany(Flux.empty())
        return content.aggregate().asString().doOnNext(reader::onRefusal).thenMany(Flux.empty())
    }

    private fun recordReservation(request: String, key: String, response: HttpClientResponse, body: String) {
        if (response.status().code() == HTTP_CREATED) return recorder.completeReservation(request, key, body)
        val answer = Json.parseToJsonElement(body) as JsonObject
        val error = answer.getValue("error") as JsonObject
        recorder.refused(request, error.unquoted("outcome"), error.unquoted("code"), key)
    }

    private fun JsonObject.unquoted(name: String): String = getValue(name).toString().trim('"')

    private fun body(completion: CompletionRequest): String = buildJsonObject {
        put("model", completion.adapterVersion.toString())
        put("prompt", completion.prompt)
        put("max_tokens", completion.maxTokens)
        put("stream", true)
    }.toString()

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_CREATED = 201

        /** Time after the deadline of a request before the caller records the request as hung. */
        val HANG_MARGIN: Duration = Duration.ofSeconds(5)
    }
}
