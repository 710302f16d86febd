package io.apricotslip.backends.service

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.manifest.ReplicaEntry
import io.apricotslip.api.outcome.Outcome
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.backends.http.RawServer
import io.apricotslip.backends.http.RawServer.Companion.answer
import io.apricotslip.backends.http.RawServer.Companion.send
import io.apricotslip.backends.http.freePort
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.get
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.net.Socket

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HttpServiceClientTest {
    private val shortTimeouts = ServiceClientOptions(timeoutMillis = 300, maxResponseBytes = 500)

    private val longTimeouts = ServiceClientOptions(timeoutMillis = 20_000, maxResponseBytes = 500)

    private fun replica(port: Int) = ReplicaEntry(BackendServerId("b1"), ZoneId("z"), "127.0.0.1", port)

    private fun reservation(path: String = "/v1/reservations", method: String = "POST", key: String = "key-1") =
        ServiceCall(method, path, "application/json", "{}".encodeToByteArray(), key)

    private fun call(port: Int, call: ServiceCall = reservation(), options: ServiceClientOptions = longTimeouts) =
        HttpServiceClient(options).use { it.call(replica(port), call).block() }

    @Nested
    inner class `a call with a complete response` {
        @Test
        fun `is completed and sends its idempotency key`() {
            val server = RawServer { socket, _ -> socket.answer(201, """{"reservation":"x"}""") }
            val outcome = server.use { call(it.port) }
            expectThat(outcome).isA<Outcome.Completed<ServiceAnswer>>().get { value.status }.isEqualTo(201)
            expectThat(server.requests.single().headers).get("idempotency-key").isEqualTo("key-1")
            expectThat(server.requests.single().body).isEqualTo("{}")
        }

        @Test
        fun `is completed whatever its status`() {
            val outcome = RawServer { socket, _ -> socket.answer(503, "busy") }.use { call(it.port) }
            expectThat(outcome).isA<Outcome.Completed<ServiceAnswer>>().get {
                value.body.decodeToString()
            }.isEqualTo("busy")
        }
    }

    @TestFactory
    fun `a sound answer with an unusual head completes the call`() = listOf(
        "no reason" to "HTTP/1.1 201\r\nContent-Length: 2\r\n\r\n{}",
        "blanks around a value" to "HTTP/1.1 201 X\r\nX: \t1 \r\ncONTENT-lENGTH:2\r\n\r\n{}",
        "an interim answer" to "HTTP/1.1 103 X\r\nX: 1\r\n\r\nHTTP/1.1 201 X\r\nContent-Length: 2\r\n\r\n{}",
        "trailers" to "HTTP/1.1 201 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX: 1\r\n\r\n",
    ).map { (name, answer) ->
        DynamicTest.dynamicTest(name) {
            val outcome = RawServer { socket, _ -> socket.send(answer) }.use { call(it.port) }
            expectThat(outcome).isA<Outcome.Completed<ServiceAnswer>>().get { value.body.decodeToString() }
                .isEqualTo("{}")
        }
    }

    @Test
    fun `an answer to a HEAD request has no body whatever its length`() {
        val server = RawServer { socket, _ -> socket.send("HTTP/1.1 201 X\r\nContent-Length: 9\r\n\r\n") }
        val outcome = server.use { call(it.port, reservation(method = "HEAD")) }
        expectThat(outcome).isA<Outcome.Completed<ServiceAnswer>>().get { value.body.size }.isEqualTo(0)
    }

    @Nested
    inner class `a call that was sent and has no complete response` {
        @TestFactory
        fun `is unknown and never sent again`() = listOf<Pair<String, Socket.() -> Unit>>(
            "closed without an answer" to { close() },
            "closed within the status" to { send("HTTP/1.1 20").also { close() } },
            "closed within the body" to { send("HTTP/1.1 201 X\r\nContent-Length: 9\r\n\r\n{").also { close() } },
            "an answer that is not HTTP" to { send("hello\r\n\r\n").also { close() } },
            "an answer that is too long" to { answer(201, "x".repeat(501)) },
            "status 000" to { send("HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}") },
            "status 0201" to { send("HTTP/1.1 0201 X\r\nContent-Length: 2\r\n\r\n{}") },
            "a blank in a name" to { send("HTTP/1.1 201 X\r\nX Y: 1\r\nContent-Length: 2\r\n\r\n{}") },
            "a blank after a name" to { send("HTTP/1.1 201 X\r\nContent-Length : 1\r\n\r\n{}") },
            "a control byte in a name" to { send("HTTP/1.1 201 X\r\nX\u0001: 1\r\nContent-Length: 2\r\n\r\n{}") },
            "a blank in a name of an interim answer" to {
                send("HTTP/1.1 103 X\r\nX Y: 1\r\n\r\nHTTP/1.1 201 X\r\nContent-Length: 2\r\n\r\n{}")
            },
            "another protocol" to { send("HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n").also { close() } },
            "a blank in a name in trailers" to {
                send("HTTP/1.1 201 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Y: 1\r\n\r\n")
            },
            "silent" to { },
            "silent within the body" to { send("HTTP/1.1 201 X\r\nContent-Length: 9\r\n\r\n{") },
        ).map { (name, respond) ->
            DynamicTest.dynamicTest(name) {
                RawServer { socket, _ -> socket.respond() }.use { server ->
                    val options = if (name.startsWith("silent")) shortTimeouts else longTimeouts
                    val outcome = call(server.port, options = options)
                    expectThat(outcome).isA<Outcome.Unknown>().get { refusal.peer }.isEqualTo("b1")
                    server.next { true }
                    expectThat(server.requests).hasSize(1)
                }
            }
        }
    }

    @Nested
    inner class `a call that was never sent is not run` {
        @Test
        fun `when no process listens at the address`() {
            expectThat(call(freePort())).isA<Outcome.NotRun>()
        }

        @Test
        fun `when no connection becomes free`() {
            val options = ServiceClientOptions(maxConnections = 1, acquireMillis = 100)
            RawServer { _, _ -> }.use { server ->
                val client = HttpServiceClient(options)
                client.call(replica(server.port), reservation()).subscribe()
                server.next { true }
                expectThat(client.call(replica(server.port), reservation()).block()).isA<Outcome.NotRun>()
                expectThat(server.requests).hasSize(1)
            }
        }

        @TestFactory
        fun `when it is not valid as an HTTP request`() = listOf(
            "path with a line break" to reservation(path = "/v1/x HTTP/1.1\r\nX: y"),
            "path to another host" to reservation(path = "@10.0.0.1/x"),
            "method with a space" to reservation(method = "GET /"),
            "key with a line break" to reservation(key = "a\r\nX: y"),
        ).map { (name, call) ->
            DynamicTest.dynamicTest(name) {
                RawServer { socket, _ -> socket.answer(200, "") }.use { server ->
                    val outcome = call(server.port, call)
                    expectThat(outcome).isA<Outcome.NotRun>().get { refusal.code }.isEqualTo(RefusalCode.BAD_REQUEST)
                    expectThat(server.requests).hasSize(0)
                }
            }
        }
    }

    @Test
    fun `calls that are not safe to repeat never reuse a connection`() {
        val sockets = mutableSetOf<Socket>()
        val server = RawServer { socket, _ ->
            sockets += socket
            socket.answer(201, "")
        }
        server.use {
            HttpServiceClient(shortTimeouts).use { client ->
                repeat(3) { client.call(replica(server.port), reservation()).block() }
            }
        }
        expectThat(sockets).hasSize(3)
        expectThat(server.requests.first().headers["connection"]).isNotNull().isEqualTo("close")
    }
}
