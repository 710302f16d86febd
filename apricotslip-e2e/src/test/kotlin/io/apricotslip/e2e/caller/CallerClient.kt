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

/** Sends requests as callers do, each on a connection of its own, and records what comes back. Never fails. */
internal class CallerClient(private val recorder: CallerRecorder) {
    /** Streams the answer to [ask] through [node]; ends when the answer does. */
    fun stream(ask: Ask, node: NodeProcess): Mono<Void> = Mono.defer {
        val reader = StreamReader(ask.request, recorder)
        recorder.invoke(ask.request, ask.target, AnswerText.fullText(ask.target, ask.prompt, ask.tokens), node.vm)
        http(node)
            .headers {
                it.set("X-Request-Id", ask.request)
                it.set("X-Apricotslip-Class", ask.workClass.label)
                it.set("X-Apricotslip-Deadline-Millis", ask.deadlineMillis)
            }.post()
            .uri("/v1/completions")
            .send(ByteBufMono.fromString(Mono.just(body(ask))))
            .response { response, content -> read(reader, response, content) }
            .timeout(Mono.delay(Duration.ofMillis(ask.deadlineMillis) + MARGIN), { Mono.never<Void>() })
            .doOnComplete { reader.end() }
            .onErrorResume { e ->
                reader.end(e)
                Mono.empty()
            }.then()
    }

    /** Makes a reservation under [key] through [node]. */
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
                    content.asString().defaultIfEmpty("").doOnNext { reserved(request, key, response, it) }
                }.timeout(Duration.ofMillis(deadlineMillis) + MARGIN)
                .onErrorResume { e ->
                    val detail = if (e is java.util.concurrent.TimeoutException) "hang" else "connection"
                    recorder.refused(request, "unknown", detail, key)
                    Mono.empty()
                }.then()
        }

    private fun http(node: NodeProcess): HttpClient =
        HttpClient.newConnection().remoteAddress { InetSocketAddress("127.0.0.1", node.callers) }

    private fun read(reader: StreamReader, response: HttpClientResponse, content: ByteBufFlux): Flux<Void> {
        reader.answer = AnswerHeaders.of(response.responseHeaders())
        val status = response.status().code()
        if (status == OK) return content.asString().doOnNext(reader::accept).thenMany(Flux.empty())
        return content.aggregate().asString().doOnNext(reader::refusal).thenMany(Flux.empty())
    }

    private fun reserved(request: String, key: String, response: HttpClientResponse, body: String) {
        if (response.status().code() == CREATED) return recorder.completeReservation(request, key, body)
        val error = Json.parseToJsonElement(body) as JsonObject
        val refusal = error.getValue("error") as JsonObject
        recorder.refused(request, refusal.word("outcome"), refusal.word("code"), key)
    }

    private fun JsonObject.word(name: String): String = getValue(name).toString().trim('"')

    private fun body(ask: Ask): String = buildJsonObject {
        put("model", ask.target.toString())
        put("prompt", ask.prompt)
        put("max_tokens", ask.tokens)
        put("stream", true)
    }.toString()

    private companion object {
        const val OK = 200
        const val CREATED = 201

        /** Beyond the deadline of a request, before the caller calls it hung. */
        val MARGIN: Duration = Duration.ofSeconds(5)
    }
}
