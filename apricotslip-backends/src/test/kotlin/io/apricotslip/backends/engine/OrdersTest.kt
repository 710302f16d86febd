package io.apricotslip.backends.engine

import io.apricotslip.api.id.FenceNumber
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.backends.http.RawServer
import io.apricotslip.backends.http.RawServer.Companion.answer
import io.apricotslip.backends.http.RawServer.Companion.send
import io.apricotslip.backends.http.freePort
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.Timeout
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import java.net.Socket

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class OrdersTest {
    private val shortTimeouts =
        EngineClientOptions(loadMillis = 300, orderMillis = 300, reportMillis = 300, maxResponseBytes = 500)
    private val longTimeouts = EngineClientOptions(orderMillis = 20_000, maxResponseBytes = 500)
    private val anyUnanswered = OrderResult.Unanswered("")

    private fun evict(port: Int, options: EngineClientOptions = longTimeouts) =
        client(port, options).evict(adapter, FenceNumber(7)).block()

    @TestFactory
    fun `an order has the result that the engine reports, or is unanswered when that is unclear`() =
        listOf<Triple<String, OrderResult, Socket.() -> Unit>>(
            Triple("done", OrderResult.Done(9)) { answer(200, """{"sequence":9}""") },
            Triple("stale", OrderResult.StaleFence(FenceNumber(8))) {
                answer(409, """{"error":"stale_fence","highest":8}""")
            },
            Triple("full", OrderResult.Rejected("full")) { answer(409, """{"error":"full"}""") },
            Triple("not resident", OrderResult.Rejected("not_resident", sequence = 3)) {
                answer(404, """{"error":"not_resident","sequence":3}""")
            },
            Triple("load failed", OrderResult.Rejected("load_failed")) { answer(502, """{"error":"load_failed"}""") },
            Triple("starting", OrderResult.Rejected("starting")) { answer(503, """{"error":"starting"}""") },
            Triple("stale without the highest", anyUnanswered) { answer(409, """{"error":"stale_fence"}""") },
            Triple("done without a sequence", anyUnanswered) { answer(200, "{}") },
            Triple("not JSON", anyUnanswered) { answer(200, "ok") },
            Triple("a documented error with another status", anyUnanswered) { answer(500, """{"error":"full"}""") },
            Triple("unknown route", anyUnanswered) { answer(404, "") },
            Triple("an answer that is too long", anyUnanswered) {
                answer(200, """{"sequence":9}""" + " ".repeat(1_000))
            },
            Triple("half an answer", anyUnanswered) {
                send("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"seq").also { close() }
            },
            Triple("status 0200", anyUnanswered) {
                send("HTTP/1.1 0200 OK\r\nContent-Length: 14\r\n\r\n{\"sequence\":9}")
            },
            Triple("a blank in a name", anyUnanswered) {
                send("HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 14\r\n\r\n{\"sequence\":9}")
            },
            Triple("closed", anyUnanswered) { close() },
            Triple("silent", anyUnanswered) { },
        ).map { (name, expected, respond) ->
            DynamicTest.dynamicTest(name) {
                RawServer { socket, _ -> socket.respond() }.use { server ->
                    val result = evict(server.port, if (name == "silent") shortTimeouts else longTimeouts)
                    if (expected === anyUnanswered) {
                        expectThat(result).isA<OrderResult.Unanswered>()
                    } else {
                        expectThat(result).isEqualTo(expected)
                    }
                    server.next { true }
                    expectThat(server.requests).hasSize(1)
                }
            }
        }

    @Test
    fun `an order that was never sent is rejected`() {
        expectThat(evict(freePort())).isEqualTo(OrderResult.Rejected("not_sent"))
    }

    @Test
    fun `a load order contains the adapter and the fencing token`() {
        val server = RawServer { socket, _ -> socket.answer(200, """{"sequence":1}""") }
        server.use { client(it.port).load(adapter, FenceNumber(7)).block() }
        expectThat(server.requests.single().body).isEqualTo("""{"adapter":"club","version":"3","fence":7}""")
    }

    @Nested
    inner class `a report` {
        @Test
        fun `is read with its adapters and their running requests`() {
            val body = """{"sequence":5,"incarnation":2,"slots":8,"batch":8,"running":1,"queued":0,"fence":7,
                "adapters":[{"adapter":"club","version":"3","running":1,"state":"resident"}]}"""
            val report = RawServer { socket, _ -> socket.answer(200, body) }.use { client(it.port).report().block() }
            expectThat(report).isEqualTo(
                EngineReport(5, 2, slots = 8, running = 1, FenceNumber(7), listOf(ReportedAdapter(adapter, 1, true))),
            )
        }

        @TestFactory
        fun `that can't be read fails with the name of the engine`() = listOf<Pair<String, Socket.() -> Unit>>(
            "status" to { answer(500, "{}") },
            "not JSON" to { answer(200, "x") },
            "a missing field" to { answer(200, """{"sequence":5}""") },
            "closed" to { close() },
            "silent" to { },
        ).map { (name, respond) ->
            DynamicTest.dynamicTest(name) {
                RawServer { socket, _ -> socket.respond() }.use { server ->
                    expectCatching {
                        client(server.port, shortTimeouts).report().block()
                    }.isFailure().isA<EngineException>().and {
                        get { refusal.peer }.isEqualTo("e1")
                        get { refusal.certainty }.isEqualTo(Certainty.UNKNOWN)
                    }
                }
            }
        }
    }
}
