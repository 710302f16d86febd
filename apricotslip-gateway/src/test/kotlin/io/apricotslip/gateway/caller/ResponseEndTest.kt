package io.apricotslip.gateway.caller

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponseStatus
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.ByteArrayOutputStream
import java.net.Socket
import java.net.SocketException

/** How a caller can tell a response without a length that is whole from one that broke off. */
class ResponseEndTest {
    private class Case(val version: String, val what: String, val end: (ScriptedServer, CallerResponse) -> Unit)

    private val finish = { _: ScriptedServer, response: CallerResponse -> response.finish() }
    private val abort = { _: ScriptedServer, response: CallerResponse -> response.abort() }
    private val stop = { server: ScriptedServer, _: CallerResponse -> server.server.close() }

    private val cases = listOf("HTTP/1.0", "HTTP/1.0\r\nConnection: keep-alive").flatMap {
        listOf(
            Case(it, "first second, end", finish),
            Case(it, "reset", abort),
            Case(it, "reset", stop),
        )
    } + listOf(
        Case("HTTP/1.1\r\nConnection: close", "6 first  6 second 0, end", finish),
        Case("HTTP/1.1\r\nConnection: close", "6 first  6 second, end", abort),
        Case("HTTP/1.1\r\nConnection: close", "6 first  6 second, end", stop),
    )

    @TestFactory
    fun `a response that broke off does not look whole`() = cases.mapIndexed { number, case ->
        DynamicTest.dynamicTest("$number ${case.version.replace("\r\n", ", ")}: ${case.what}") {
            ScriptedServer().use { server -> expectThat(body(server, case)).isEqualTo(case.what) }
        }
    }

    private fun body(server: ScriptedServer, case: Case): String = Socket("127.0.0.1", server.port).use { socket ->
        socket.soTimeout = 30_000
        socket.getOutputStream().write("GET /held ${case.version}\r\nHost: h\r\n\r\n".toByteArray())
        val response = server.response("/held")
        server.onLoop {
            response.sendHead(HttpResponseStatus.OK, CallerResponse.newHeaders())
            listOf("first ", "second").forEach { response.write(Unpooled.copiedBuffer(it, Charsets.US_ASCII)) }
            response.flush()
        }
        server.onLoop { case.end(server, response) }
        val received = ByteArrayOutputStream()
        try {
            socket.getInputStream().transferTo(received)
        } catch (e: SocketException) {
            return "reset"
        }
        val body = received.toString(Charsets.US_ASCII).substringAfter("\r\n\r\n")
        return "${body.trim().replace("\r\n", " ")}, end"
    }
}
