package io.apricotslip.core.http

import io.apricotslip.api.id.VmId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.core.Node
import io.apricotslip.core.NodePorts
import io.apricotslip.settings.CallerSettings
import io.apricotslip.settings.NodeSettings
import io.apricotslip.settings.OperatorSettings
import io.apricotslip.settings.PeerSettings
import io.apricotslip.settings.PlatformAddress
import io.apricotslip.settings.PlatformSettings
import io.apricotslip.settings.VmSettings
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

private const val LOOPBACK = "127.0.0.1"
private const val VALID_COMPLETION = """{"model":"a@v1","prompt":"p"}"""

/**
 * The callers' and operators' ports of a node that cannot reach its platform. Guards against malformed or oversized input
 * that takes the node down, runs work, or is refused without a usable error.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CallerPortTest {
    private val client = HttpClient.newHttpClient()
    private val unreachable = PlatformAddress(LOOPBACK, 1)
    private lateinit var node: Node
    private lateinit var ports: NodePorts

    @BeforeAll
    fun start() {
        node = Node(settings(keys = listOf("secret")))
        ports = node.start()
    }

    @AfterAll
    fun stop() = node.close()

    private fun settings(keys: List<String>) = NodeSettings(
        vm = VmSettings(VmId("vm-1"), ZoneId("z1"), LOOPBACK),
        callers = CallerSettings(LOOPBACK, port = 0, maxHeaderBytes = 4_096, maxBodyBytes = 2_048),
        operators = OperatorSettings(port = 0, keys = keys),
        peers = PeerSettings(port = 0),
        platform = PlatformSettings(configuration = unreachable, vms = unreachable),
    )

    private fun post(path: String, body: String, vararg headers: String): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://$LOOPBACK:${ports.callers}$path"))
        if (headers.isNotEmpty()) request.headers(*headers)
        val post = request.POST(HttpRequest.BodyPublishers.ofString(body)).build()
        return client.send(post, HttpResponse.BodyHandlers.ofString())
    }

    private fun operators(path: String, key: String? = null): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://$LOOPBACK:${ports.operators}$path"))
        if (key != null) request.header("Authorization", "Bearer $key")
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    private fun expectHealthy() = expectThat(operators("/healthz").statusCode()).isEqualTo(200)

    @Nested
    inner class `given an invalid request` {
        @ParameterizedTest
        @CsvSource(
            delimiter = '|',
            value = [
                "/v1/completions | '' | 400 | bad_request | body",
                "/v1/completions | '{' | 400 | bad_request | body",
                "/v1/completions | '[1]' | 400 | bad_request | body",
                "/v1/completions | '{\"model\":\"a@v1\"}' | 400 | bad_request | body",
                "/v1/completions | '{\"model\":\"\",\"prompt\":\"p\"}' | 400 | bad_request | model",
                "/v1/completions | '{\"model\":\"a\",\"prompt\":\"p\",\"max_tokens\":0}' | 400 | bad_request | max_tokens",
                "/v1/completions | '{\"model\":\"a\",\"prompt\":\"p\",\"max_tokens\":\"x\"}' | 400 | bad_request | body",
                "/v1/chat/completions | '{\"model\":\"a\",\"messages\":{}}' | 400 | bad_request | body",
                "/v1/other | '{}' | 400 | bad_request | no such path",
                "/services/booking/v1/reservations | '{}' | 400 | bad_request | Idempotency-Key",
            ],
        )
        fun `the error names the fault and says that nothing ran`(
            path: String,
            body: String,
            status: Int,
            code: String,
            detail: String,
        ) {
            val answer = post(path, body)
            expectThat(answer.statusCode()).isEqualTo(status)
            expectThat(
                answer.body(),
            ).contains("\"code\":\"$code\"").contains("\"outcome\":\"not_run\"").contains(detail)
            expectHealthy()
        }

        @ParameterizedTest
        @CsvSource(
            "X-Apricotslip-Class, urgent",
            "X-Apricotslip-Deadline-Millis, soon",
            "X-Apricotslip-Deadline-Millis, 0",
            "X-Apricotslip-Deadline-Millis, 99999999",
        )
        fun `the error names the invalid header`(header: String, value: String) {
            val answer = post("/v1/completions", VALID_COMPLETION, header, value)
            expectThat(answer.statusCode()).isEqualTo(400)
            expectThat(answer.body()).contains(header)
        }

        @Test
        fun `a body over the limit is refused`() {
            expectThat(post("/v1/completions", "x".repeat(3_000)).statusCode()).isEqualTo(413)
            expectHealthy()
        }

        @Test
        fun `headers over the limit are refused`() {
            expectThat(
                post("/v1/completions", VALID_COMPLETION, "X-Long", "x".repeat(5_000)).statusCode(),
            ).isEqualTo(431)
            expectHealthy()
        }

        // Guards against a refusal that is lost because the connection is reset with bytes unread.
        @Test
        fun `a refusal of headers over the limit arrives while the caller goes on sending`() {
            repeat(20) {
                Socket(LOOPBACK, ports.callers).use { socket ->
                    socket.getOutputStream().write("POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Long: ".toByteArray())
                    repeat(20) {
                        socket.getOutputStream().write(ByteArray(5_000) { 'x'.code.toByte() })
                        Thread.sleep(1)
                    }
                    val status = socket.getInputStream().bufferedReader().readLine()
                    expectThat(status).contains("431")
                }
            }
        }

        @ParameterizedTest
        @CsvSource("GARBAGE", "'POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n'", "'\u0000\u0001\u0002'")
        fun `bytes that are not HTTP close only their own connection`(bytes: String) {
            Socket(LOOPBACK, ports.callers).use { socket ->
                socket.getOutputStream().write("$bytes\r\n\r\n".toByteArray())
                socket.shutdownOutput()
                socket.getInputStream().readAllBytes()
            }
            expectHealthy()
        }
    }

    @ParameterizedTest
    @ValueSource(strings = ["X Y: 1", "X\tY: 1", "X\u0001: 1", "Content-Length : 3", "several words"])
    fun `a header whose name is no token is refused`(line: String) {
        Socket(LOOPBACK, ports.callers).use { socket ->
            socket.getOutputStream().write("POST /v1/completions HTTP/1.1\r\nHost: h\r\n$line\r\n\r\n".toByteArray())
            expectThat(socket.getInputStream().bufferedReader().readLine()).contains("400")
        }
        expectHealthy()
    }

    @Nested
    inner class `given no manifest` {
        @Test
        fun `a valid request is refused as not run`() {
            val answer = post("/v1/completions", VALID_COMPLETION)
            expectThat(answer.statusCode()).isEqualTo(503)
            expectThat(answer.body()).contains("\"code\":\"not_ready\"").contains("\"outcome\":\"not_run\"")
        }

        @Test
        fun `the readiness answer gives the reason`() {
            val answer = operators("/readyz")
            expectThat(answer.statusCode()).isEqualTo(503)
            expectThat(answer.body()).contains("no valid manifest yet")
        }
    }

    @Nested
    inner class `given keys for operators` {
        @ParameterizedTest
        @CsvSource(
            "/v1/status, , 401",
            "/v1/status, wrong, 401",
            "/v1/status, secret, 200",
            "/v1/manifest, secret, 200",
            "/v1/refused, secret, 200",
            "/v1/running, secret, 200",
            "/metrics, , 401",
            "/metrics, secret, 200",
            "/healthz, , 200",
        )
        fun `every path but the health check requires a valid key`(path: String, key: String?, status: Int) {
            expectThat(operators(path, key).statusCode()).isEqualTo(status)
        }
    }
}
