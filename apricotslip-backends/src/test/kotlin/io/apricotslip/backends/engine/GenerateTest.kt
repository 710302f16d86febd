package io.apricotslip.backends.engine

import io.apricotslip.api.outcome.Certainty
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.outcome.Step
import io.apricotslip.backends.http.RawServer
import io.apricotslip.backends.http.RawServer.Companion.answer
import io.apricotslip.backends.http.RawServer.Companion.send
import io.apricotslip.backends.http.RawServer.Companion.stream
import io.apricotslip.backends.http.freePort
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.Timeout
import reactor.core.publisher.Flux
import reactor.core.scheduler.Schedulers
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.startsWith
import java.net.Socket

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class GenerateTest {
    private class Case(
        val name: String,
        val expectedEvents: Int,
        val reason: String,
        val certainty: Certainty = Certainty.UNKNOWN,
        val code: RefusalCode = RefusalCode.BACKEND_SERVER_FAILED,
        val respond: Socket.() -> Unit,
    )

    private val shortTimeouts = EngineClientOptions(firstEventMillis = 300, idleMillis = 300, maxEventBytes = 1_000)

    private val longTimeouts =
        EngineClientOptions(firstEventMillis = 20_000, idleMillis = 20_000, maxEventBytes = 1_000)

    private fun Socket.streamAndClose(vararg lines: String) {
        stream(*lines)
        close()
    }

    private fun check(case: Case) = RawServer { socket, _ -> case.respond(socket) }.use { server ->
        val received = mutableListOf<EngineEvent>()
        val options = if (case.reason == "silent") shortTimeouts else longTimeouts
        val stream = client(server.port, options).generate(engineRequest()).doOnNext { received += it }
        expectCatching { stream.blockLast() }.isFailure().isA<EngineException>().and {
            get { reason }.isEqualTo(case.reason)
            get { refusal.code }.isEqualTo(case.code)
            get { refusal.certainty }.isEqualTo(case.certainty)
            get { refusal.peer }.isEqualTo("e1")
        }
        expectThat(received).hasSize(case.expectedEvents)
        server.next { it.line.startsWith("POST") }
        expectThat(server.requests.filter { it.line.startsWith("POST") }).hasSize(1)
    }

    private fun tests(vararg cases: Case) = cases.map { DynamicTest.dynamicTest(it.name) { check(it) } }

    @Nested
    inner class `an error response instead of a stream` {
        private fun refusal(
            status: Int,
            error: String,
            certainty: Certainty,
            code: RefusalCode = RefusalCode.BACKEND_SERVER_FAILED,
        ) = Case("$status $error", 0, error, certainty, code) { answer(status, """{"error":"$error"}""") }

        @TestFactory
        fun `is not run only when it is documented as refused before any work`() = tests(
            refusal(409, "adapter_not_resident", Certainty.NOT_RUN),
            refusal(409, "duplicate_request", Certainty.UNKNOWN),
            refusal(429, "full", Certainty.NOT_RUN, RefusalCode.OVERLOADED),
            refusal(503, "starting", Certainty.NOT_RUN, RefusalCode.NOT_READY),
            refusal(500, "starting", Certainty.UNKNOWN),
            refusal(503, "overload", Certainty.UNKNOWN),
            Case("503 without a body", 0, "status_503") { answer(503, "") },
            Case("429 with a body that is not JSON", 0, "status_429") { answer(429, "full") },
            Case("302 is not followed", 0, "status_302") {
                send("HTTP/1.1 302 X\r\nLocation: /\r\nContent-Length: 0\r\n\r\n")
            },
        )
    }

    @Nested
    inner class `a failing connection` {
        @Test
        fun `is not run when it can not be opened`() {
            val stream = client(freePort()).generate(engineRequest())
            expectCatching { stream.blockLast() }.isFailure().isA<EngineException>().and {
                get { reason }.isEqualTo("not_sent")
                get { refusal.certainty }.isEqualTo(Certainty.NOT_RUN)
                get { refusal.step }.isEqualTo(Step.START)
            }
        }

        @TestFactory
        fun `is unknown after the request was sent`() = tests(
            Case("closed without an answer", 0, "connection") { close() },
            Case("closed within the status", 0, "connection") { send("HTTP/1.1 2").also { close() } },
            Case("closed within the headers", 0, "connection") { send("HTTP/1.1 200 OK\r\nCont").also { close() } },
            Case("an answer that is not HTTP", 0, "connection") { send("220 mail ready\r\n\r\n").also { close() } },
            Case("status 0200", 0, "connection") { send("HTTP/1.1 0200 OK\r\n\r\n").also { streamEvents() } },
            Case("a blank in a name", 0, "connection") {
                send("HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n").also { streamEvents() }
            },
            Case("silent without an answer", 0, "silent") { },
            Case("closed after the headers", 0, "cut") { streamAndClose() },
            Case("closed after a token", 1, "cut") { streamAndClose(token(0)) },
            Case("silent after a token", 1, "silent") { stream(token(0)) },
        )

        @Test
        fun `is not run when no connection becomes free`() {
            val options = EngineClientOptions(maxConnections = 1, acquireMillis = 100)
            RawServer { socket, _ -> socket.stream(token(0)) }.use { server ->
                val client = client(server.port, options)
                client.generate(engineRequest()).next().block()
                val openStream = client.generate(engineRequest()).publish().apply { connect() }
                openStream.next().block()
                expectCatching { client.generate(engineRequest()).blockLast() }.isFailure().isA<EngineException>()
                    .get { refusal.certainty }.isEqualTo(Certainty.NOT_RUN)
            }
        }
    }

    /** Sends a token and the end of a stream, without a head, and closes. */
    private fun Socket.streamEvents() {
        send("data: ${token(0)}\n\ndata: ${end(1)}\n\n")
        close()
    }

    @Nested
    inner class `an invalid or incomplete stream` {
        @TestFactory
        fun `fails and passes on only the valid events before the fault`() = tests(
            Case("a gap", 1, "gap") { streamAndClose(token(0), token(2), end(3)) },
            Case("a gap at the end", 1, "gap") { streamAndClose(token(0), end(2)) },
            Case("a gap at the start", 0, "gap") { streamAndClose(token(1)) },
            Case("an end with a total that is too low", 2, "bad_total") { streamAndClose(token(0), token(1), end(1)) },
            Case("[DONE] before the end", 1, "cut") { streamAndClose(token(0), "[DONE]") },
            Case("an error event", 1, "restarting") {
                streamAndClose(token(0), """{"id":"r1","error":"restarting"}""")
            },
            Case("an event that is not JSON", 1, "bad_event") { streamAndClose(token(0), "{") },
            Case("an event that is neither token nor end", 0, "bad_event") {
                streamAndClose("""{"id":"r1","adapter":"club","version":"3"}""")
            },
            Case("no adapter", 0, "bad_event") { streamAndClose("""{"id":"r1","offset":0,"text":"t"}""") },
            Case("a line that is too long", 1, "connection") { streamAndClose(token(0), "x".repeat(2_000)) },
            Case("a token of another request", 1, "wrong_request") { streamAndClose(token(0), token(1, id = "r2")) },
        )

        @Test
        fun `repeated tokens are dropped`() {
            val server = RawServer { socket, _ ->
                socket.streamAndClose(token(0), token(0), token(1), token(0), end(2))
            }
            val events = server.use { client(it.port).generate(engineRequest()).collectList().block() }
            expectThat(events.orEmpty()).containsExactly(
                EngineEvent.Token(0, "t0 ", adapter),
                EngineEvent.Token(1, "t1 ", adapter),
                EngineEvent.End(2, "stop", adapter),
            )
        }

        @Test
        fun `lines that arrive byte by byte are reassembled`() {
            val lines = listOf(token(0).replace("t0 ", "\u00e5\u4e16"), token(1), end(2))
            val server = RawServer { socket, _ ->
                socket.stream()
                val text = ": comment\r\n\r\n" + lines.joinToString("") { "data: $it\r\n\r\n" }
                text.encodeToByteArray().forEach { socket.getOutputStream().write(it.toInt()) }
            }
            val events = server.use { client(it.port).generate(engineRequest()).collectList().block() }
            expectThat(events.orEmpty()).containsExactly(
                EngineEvent.Token(0, "\u00e5\u4e16", adapter),
                EngineEvent.Token(1, "t1 ", adapter),
                EngineEvent.End(2, "stop", adapter),
            )
        }
    }

    @Nested
    inner class `an answer by another adapter` {
        @TestFactory
        fun `is not passed on and the request is cancelled`() = listOf(
            "another version at once" to listOf(token(0, version = "4")),
            "another version later" to listOf(token(0), token(1, version = "4")),
            "another version at the end" to listOf(token(0), end(1).replace("club", "other")),
        ).map { (name, lines) ->
            DynamicTest.dynamicTest(name) {
                RawServer { socket, request ->
                    if (request.line.startsWith("DELETE")) {
                        socket.answer(204, "")
                    } else {
                        socket.stream(*lines.toTypedArray())
                    }
                }.use { server ->
                    val received = mutableListOf<EngineEvent>()
                    val stream = client(server.port).generate(engineRequest()).doOnNext { received += it }
                    expectCatching { stream.blockLast() }.isFailure().isA<EngineException>().and {
                        get { refusal.code }.isEqualTo(RefusalCode.WRONG_ADAPTER)
                        get { refusal.certainty }.isEqualTo(Certainty.UNKNOWN)
                    }
                    expectThat(received).hasSize(lines.size - 1)
                    expectThat(server.next { it.line.startsWith("DELETE") }.line)
                        .startsWith("DELETE /v1/completions/r1 ")
                }
            }
        }
    }

    @Test
    fun `cancelling the subscription sends no cancel to the engine, only cancel does`() {
        RawServer { socket, request ->
            if (request.line.startsWith("DELETE")) socket.answer(204, "") else socket.stream(token(0))
        }.use { server ->
            val client = client(server.port)
            client.generate(engineRequest()).take(1).blockLast()
            client.cancel(request).block()
            expectThat(server.requests.map { it.line.substringBeforeLast(' ') })
                .containsExactly("POST /v1/completions", "DELETE /v1/completions/r1")
        }
    }

    @Nested
    inner class `a resumed stream` {
        @Test
        fun `starts at the requested offset`() {
            val server = RawServer { socket, _ -> socket.streamAndClose(token(1), token(2), token(3), end(4)) }
            val events = server.use { client(it.port).resume(request, from = 2).collectList().block() }
            expectThat(events.orEmpty()).containsExactly(
                EngineEvent.Token(2, "t2 ", adapter),
                EngineEvent.Token(3, "t3 ", adapter),
                EngineEvent.End(4, "stop", adapter),
            )
            expectThat(server.requests.single().line).startsWith("GET /v1/completions/r1?from=2 ")
        }

        @Test
        fun `is never not run when it fails, because the request was started before`() {
            val responses = listOf<Socket.() -> Unit>(
                { answer(404, """{"error":"unknown_request"}""") },
                { close() },
            )
            val failures = responses
                .map { respond ->
                    RawServer { socket, _ -> socket.respond() }.use { failure(client(it.port).resume(request, 0)) }
                }
                .plus(failure(client(freePort()).resume(request, 0)))
            expectThat(failures.map { it.reason }).containsExactly("unknown_request", "connection", "not_sent")
            expectThat(failures.map { it.refusal.certainty }.distinct()).containsExactly(Certainty.UNKNOWN)
        }

        private fun failure(stream: Flux<EngineEvent>): EngineException =
            runCatching { stream.blockLast() }.exceptionOrNull() as EngineException
    }

    @Test
    fun `a slow subscriber receives a long stream completely`() {
        val tokenCount = 20_000
        val server = RawServer { socket, _ -> socket.stream(*Array(tokenCount) { token(it) }, end(tokenCount)) }
        val eventCount = server.use {
            client(it.port).generate(engineRequest()).publishOn(Schedulers.boundedElastic(), 16)
                .doOnNext { e -> if (e is EngineEvent.Token && e.offset % 5_000 == 0) Thread.sleep(300) }
                .count().block()
        }
        expectThat(eventCount).isEqualTo(tokenCount + 1L)
    }
}
