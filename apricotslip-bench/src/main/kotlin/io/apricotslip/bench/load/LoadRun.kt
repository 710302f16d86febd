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

/** Sends a plan to running nodes and checks every answer. */
internal class LoadRun(private val options: LoadOptions) {
    private val provider = ConnectionProvider.builder("load").maxConnections(MAX_CONNECTIONS).build()
    private val client = HttpClient.create(provider).responseTimeout(Duration.ofSeconds(SILENT_SECONDS))
    private val result = LoadResult()

    /** Runs the whole plan and waits for the last answer. */
    fun run(): LoadResult {
        val start = System.nanoTime()
        Flux
            .fromIterable(LoadPlan.draw(options))
            .flatMap({ request -> due(request, start).then(send(request, start)) }, MAX_CONNECTIONS)
            .blockLast(Duration.ofSeconds(options.seconds + END_SECONDS))
        provider.dispose()
        return result
    }

    private fun due(request: PlannedRequest, start: Long): Mono<Long> {
        val wait = start + request.atNanos - System.nanoTime()
        return if (wait <= 0) Mono.just(0L) else Mono.delay(Duration.ofNanos(wait), Schedulers.parallel())
    }

    private fun send(request: PlannedRequest, start: Long): Mono<Void> = Mono.defer {
        val due = start + request.atNanos
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
            .response { response, content -> read(request, response, content, check, due) }
            .then()
            .onErrorComplete()
            .doFinally { result.ended(request, check, System.nanoTime() - due) }
    }

    private fun read(
        request: PlannedRequest,
        response: HttpClientResponse,
        content: ByteBufFlux,
        check: AnswerCheck,
        due: Long,
    ): Flux<Void> {
        if (response.status().code() !=
            OK
        ) {
            return content.aggregate().asString().doOnNext(check::refused).thenMany(Flux.empty())
        }
        val lines = LineBuffer()
        return (content as Flux<ByteBuf>)
            .map { it.toString(Charsets.UTF_8) }
            .concatMapIterable(lines::add)
            .doOnNext { line ->
                val first = check.tokens == 0
                if (check.accept(line) && first) result.firstToken(request.workClass, System.nanoTime() - due)
            }.thenMany(Flux.empty())
    }

    private fun body(request: PlannedRequest, tokens: Int): String = buildJsonObject {
        put("model", request.adapter)
        put("prompt", "request ${request.number} of seed ${options.seed} for ${request.adapter}")
        put("max_tokens", tokens)
        put("stream", true)
    }.toString()

    private companion object {
        const val OK = 200
        const val MAX_CONNECTIONS = 4_096
        const val SILENT_SECONDS = 60L
        val END_SECONDS = TimeUnit.MINUTES.toSeconds(2)
    }
}

/** Splits text into lines across buffers. */
internal class LineBuffer {
    private val rest = StringBuilder()

    /** The whole lines that [text] completes. */
    fun add(text: String): List<String> {
        rest.append(text)
        val end = rest.lastIndexOf("\n")
        if (end < 0) return emptyList()
        val lines = rest.substring(0, end).split('\n')
        rest.delete(0, end + 1)
        return lines.map { it.trimEnd('\r') }.filter(String::isNotEmpty)
    }
}
