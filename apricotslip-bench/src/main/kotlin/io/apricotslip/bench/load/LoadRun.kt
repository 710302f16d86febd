package io.apricotslip.bench.load

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import reactor.core.publisher.Flux
import reactor.core.publisher.Mono
import reactor.core.scheduler.Schedulers
import reactor.netty.ByteBufFlux
import reactor.netty.http.client.HttpClient
import reactor.netty.http.client.HttpClientResponse
import reactor.netty.resources.ConnectionProvider
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Sends the requests of a plan to running nodes and checks every answer. */
internal class LoadRun(private val options: LoadOptions) {
    private val connectionProvider = ConnectionProvider.builder("load").maxConnections(MAX_CONNECTIONS).build()
    private val client = HttpClient.create(connectionProvider)
        .responseTimeout(Duration.ofSeconds(RESPONSE_TIMEOUT_SECONDS))
    private val result = LoadResult()

    /** Runs the whole plan and waits for the last answer. */
    fun run(): LoadResult {
        val start = System.nanoTime()
        Flux
            .fromIterable(LoadPlan.draw(options))
            .flatMap({ request -> delayUntilDue(request, start).then(send(request, start)) }, MAX_CONNECTIONS)
            .blockLast(Duration.ofSeconds(options.seconds + MAX_DRAIN_SECONDS))
        connectionProvider.dispose()
        return result
    }

    private fun delayUntilDue(request: PlannedRequest, start: Long): Mono<Long> {
        val wait = start + request.atNanos - System.nanoTime()
        return if (wait <= 0) Mono.just(0L) else Mono.delay(Duration.ofNanos(wait), Schedulers.parallel())
    }

    private fun send(request: PlannedRequest, start: Long): Mono<Void> = Mono.defer {
        val dueAt = start + request.atNanos
        val tokens = options.maxTokens.getValue(request.workClass)
        val check = AnswerCheck(request.adapter, tokens)
        val target = options.targets[request.number % options.targets.size]
        client
            .headers {
                it.add(HttpHeaderNames.CONTENT_TYPE, "application/json")
                it.add("X-Apricotslip-Class", request.workClass.label)
                it.add("X-Apricotslip-Customer", request.adapter.substringBefore('@'))
                it.add("X-Apricotslip-Deadline-Millis", options.deadlineMillis.toString())
            }.post()
            .uri("http://$target/v1/completions")
            .send(ByteBufFlux.fromString(Mono.just(body(request, tokens))))
            .response { response, content -> checkResponse(request, response, content, check, dueAt) }
            .then()
            .onErrorComplete()
            .doFinally { result.recordEnd(request, check, System.nanoTime() - dueAt) }
    }

    private fun checkResponse(
        request: PlannedRequest,
        response: HttpClientResponse,
        content: ByteBufFlux,
        check: AnswerCheck,
        dueAt: Long,
    ): Flux<Void> {
        if (response.status().code() != HTTP_OK) {
            return content.aggregate().asString().doOnNext(check::acceptRefusal).thenMany(Flux.empty())
        }
        val lines = LineBuffer()
        return (content as Flux<ByteBuf>)
            .map { it.toString(Charsets.UTF_8) }
            .concatMapIterable(lines::add)
            .doOnNext { line ->
                val first = check.tokens == 0
                if (check.acceptLine(line) && first) {
                    result.recordFirstToken(request.workClass, System.nanoTime() - dueAt)
                }
            }.thenMany(Flux.empty())
    }

    private fun body(request: PlannedRequest, tokens: Int): String = buildJsonObject {
        put("model", request.adapter)
        put("prompt", "request ${request.number} of seed ${options.seed} for ${request.adapter}")
        put("max_tokens", tokens)
        put("stream", true)
    }.toString()

    private companion object {
        const val HTTP_OK = 200
        const val MAX_CONNECTIONS = 4_096
        const val RESPONSE_TIMEOUT_SECONDS = 60L
        val MAX_DRAIN_SECONDS = TimeUnit.MINUTES.toSeconds(2)
    }
}

/** Splits text into lines across buffers. */
internal class LineBuffer {
    private val partialLine = StringBuilder()

    /** Appends [text]; returns the lines completed by it, without empty ones. */
    fun add(text: String): List<String> {
        partialLine.append(text)
        val end = partialLine.lastIndexOf("\n")
        if (end < 0) return emptyList()
        val lines = partialLine.substring(0, end).split('\n')
        partialLine.delete(0, end + 1)
        return lines.map { it.trimEnd('\r') }.filter(String::isNotEmpty)
    }
}
