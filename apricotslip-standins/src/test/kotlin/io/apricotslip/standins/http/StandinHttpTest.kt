package io.apricotslip.standins.http

import com.github.michaelbull.result.getOrElse
import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.standins.RunningStandin
import io.apricotslip.standins.StandinKind
import io.apricotslip.standins.Standins
import io.apricotslip.standins.engine.AnswerText
import io.apricotslip.standins.engine.TokenEvent
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith
import java.io.File
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.function.BiPredicate

@Timeout(60)
class StandinHttpTest {
    private val running = mutableListOf<RunningStandin>()
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    @AfterEach
    fun stop() = running.forEach(RunningStandin::stop)

    private fun start(kind: StandinKind, keys: String): RunningStandin {
        val text = """{"id": "x", "port": 0, "admin": {"port": 0}, $keys}"""
        val standin = Standins.start(kind, text).getOrElse { error("$it") }.single()
        return standin.also(running::add)
    }

    private fun call(method: String, port: Int, path: String, body: String? = null, key: String? = null): HttpRequest {
        val publisher = if (body == null) BodyPublishers.noBody() else BodyPublishers.ofString(body)
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).method(method, publisher)
        if (key != null) request.header("Idempotency-Key", key)
        return request.timeout(Duration.ofSeconds(30)).build()
    }

    private fun send(request: HttpRequest): HttpResponse<String> = client.send(request, BodyHandlers.ofString())

    private fun get(port: Int, path: String) = send(call("GET", port, path))

    private fun post(port: Int, path: String, body: String = "", key: String? = null) =
        send(call("POST", port, path, body, key))

    private fun async(request: HttpRequest): CompletableFuture<HttpResponse<String>> =
        client.sendAsync(request, BodyHandlers.ofString())

    private fun loadAdapter(e: RunningStandin) =
        post(e.port, "/v1/adapters/load", """{"adapter":"a","version":"v1","fence":1}""")

    private fun completion(id: String, tokens: Int) =
        """{"request_id":"$id","model":"a@v1","prompt":"p","max_tokens":$tokens,"priority":0,"stream":true}"""

    private fun text(events: String): String = events.lines()
        .filter { it.startsWith("data: {") && "\"offset\"" in it }
        .joinToString("") { wireJson.decodeFromString(TokenEvent.serializer(), it.removePrefix("data: ")).text }

    @Nested
    inner class `given an engine` {
        private val file = File.createTempFile("history", ".jsonl")
        private val e = start(
            StandinKind.ENGINE,
            """"speed": {"stepMillis": 1}, "load": {"millis": 1}, "historyFile": "${file.path}"""",
        )

        @Test
        fun `a completion is streamed in full and recorded in the history`() {
            loadAdapter(e)
            val answer = post(e.port, "/v1/completions", completion("r1", 20)).body()
            expectThat(text(answer)).isEqualTo(AnswerText.fullText(AdapterVersion.parse("a@v1")!!, "p", 20))
            expectThat(answer.trim().lines().last()).isEqualTo("data: [DONE]")
            get(e.port, "/v1/report")
            val kinds = generateSequence { file.readLines() }
                .first { it.size == 3 }
                .map { Json.decodeFromString(HistoryEvent.serializer(), it).kind }
            expectThat(kinds).isEqualTo(listOf(EventKind.LOAD, EventKind.RUN, EventKind.STREAM_END))
        }

        @ParameterizedTest
        @CsvSource(
            delimiter = '|',
            value = [
                "/v1/completions | | 400 | bad_request",
                "/v1/completions | [] | 400 | bad_request",
                "/v1/completions | {\"request_id\":\"r\"} | 400 | bad_request",
                "/v1/completions | {\"request_id\":\"r\",\"model\":\"a\",\"prompt\":\"\",\"max_tokens\":1} | 400 | bad_request",
                "/v1/completions | {\"request_id\":\"\",\"model\":\"a@v1\",\"prompt\":\"\",\"max_tokens\":1} | 400 | bad_request",
                "/v1/completions | {\"request_id\":\"r\",\"model\":\"a@v1\",\"prompt\":\"\",\"max_tokens\":0} | 400 | bad_request",
                "/v1/completions | {\"request_id\":\"r\",\"model\":\"a@v9\",\"prompt\":\"\",\"max_tokens\":1} | 409 | adapter_not_resident",
                "/v1/adapters/load | {\"adapter\":\"a\",\"version\":\"v1\"} | 400 | bad_request",
                "/v1/adapters/load | {\"adapter\":\"\",\"version\":\"v1\",\"fence\":1} | 400 | bad_request",
                "/v1/adapters/evict | {\"adapter\":\"a\",\"version\":\"v1\",\"fence\":1} | 404 | not_resident",
            ],
        )
        fun `a bad request is rejected with an error code, and the engine continues to serve`(
            path: String,
            body: String?,
            status: Int,
            code: String,
        ) {
            val answer = post(e.port, path, body.orEmpty())
            expectThat(answer.statusCode()).isEqualTo(status)
            expectThat(answer.body()).contains("\"error\":\"$code\"")
            expectThat(loadAdapter(e).statusCode()).isEqualTo(200)
        }

        @ParameterizedTest
        @CsvSource(
            "/v1/completions/none, 404",
            "/v1/completions/none?from=x, 400",
            "/v1/report?after=-1, 400",
            "/v1/cache-events?after=z, 400",
            "/v1/nothing, 404",
        )
        fun `an invalid GET is rejected`(path: String, status: Int) {
            expectThat(get(e.port, path).statusCode()).isEqualTo(status)
        }

        @Test
        fun `a body that exceeds the size limit is rejected`() {
            expectThat(post(e.port, "/v1/completions", "x".repeat(3_000_000)).statusCode()).isEqualTo(413)
        }

        @Test
        fun `silenced connections stay open without data while new ones work`() {
            loadAdapter(e)
            val silent = client.send(
                call("POST", e.port, "/v1/completions", completion("r1", 100_000)),
                BodyHandlers.ofInputStream(),
            )
            silent.body().read()
            post(e.adminPort, "/admin/silence")
            val drained = CompletableFuture.runAsync { silent.body().readAllBytes() }
            expectThat(get(e.port, "/v1/report").statusCode()).isEqualTo(200)
            send(call("DELETE", e.port, "/v1/completions/r1"))
            expectThat(get(e.port, "/v1/completions/r1?from=100000").body()).contains("\"error\":\"cancelled\"")
            expectThat(drained.isDone).isEqualTo(false)
        }

        @Test
        fun `a restart closes connections, and work is rejected during the cold start`() {
            loadAdapter(e)
            val cut = async(call("POST", e.port, "/v1/completions", completion("r1", 100_000)))
            generateSequence { get(e.adminPort, "/admin/state").body() }.first { "\"running\":1" in it }
            post(e.adminPort, "/admin/restart?coldMillis=60000")
            assertThrows<Exception> { cut.get(30, TimeUnit.SECONDS) }
            expectThat(loadAdapter(e).statusCode()).isEqualTo(503)
        }
    }

    @Nested
    inner class `given an engine with a store` {
        @Test
        fun `adapters load from the store, and a failing or stopped store fails the load`() {
            val store = start(
                StandinKind.STORE,
                """"loadsPerSecond": 100, "fullSpeedInFlight": 9, "maxInFlight": 9, "loadMillis": 1""",
            )
            val e = start(StandinKind.ENGINE, """"load": {"store": {"port": ${store.port}}}""")
            post(store.adminPort, "/admin/fail?count=1")
            expectThat(loadAdapter(e).statusCode()).isEqualTo(502)
            expectThat(loadAdapter(e).statusCode()).isEqualTo(200)
            expectThat(get(store.adminPort, "/admin/state").body()).contains("\"loaded\":1,\"failed\":1")
            store.stop()
            val other = """{"adapter":"b","version":"v1","fence":1}"""
            expectThat(post(e.port, "/v1/adapters/load", other).statusCode()).isEqualTo(502)
        }
    }

    @Nested
    inner class `given the configuration service` {
        private fun commit(c: RunningStandin, revision: Long, value: String) =
            post(c.adminPort, "/admin/commit/manifest?revision=$revision", value).statusCode()

        @Test
        fun `a watch returns a committed value with its revision`() {
            val c = start(StandinKind.CONFIG, """"values": []""")
            expectThat(get(c.port, "/v1/config/manifest").statusCode()).isEqualTo(404)
            val watch = async(call("GET", c.port, "/v1/config/manifest?after=6&waitMillis=30000"))
            generateSequence { get(c.adminPort, "/admin/calls").body() }.first { "\"watches\":1" in it }
            commit(c, 6, "six")
            commit(c, 7, "seven")
            expectThat(watch.get(30, TimeUnit.SECONDS).headers().firstValue("X-Revision").get()).isEqualTo("7")
        }

        @Test
        fun `values and calls that exceed the limits are rejected`() {
            val c = start(StandinKind.CONFIG, """"maxValueBytes": 4, "callsPerSecond": 1""")
            expectThat(listOf(commit(c, 1, "1234"), commit(c, 2, "12345"))).isEqualTo(listOf(204, 413))
            val statuses = List(20) { get(c.port, "/v1/config/manifest").statusCode() }.toSet()
            expectThat(statuses).contains(429)
        }

        @ParameterizedTest
        @CsvSource("refuse, -1", "unavailable, 503")
        fun `a service that is down rejects calls as configured and resumes on its port`(how: String, status: Int) {
            val c = start(StandinKind.CONFIG, """"whenDown": "$how"""")
            commit(c, 1, "one")
            post(c.adminPort, "/admin/mode?mode=down")
            val down = try {
                get(c.port, "/v1/config/manifest").statusCode()
            } catch (e: IOException) {
                -1
            }
            expectThat(down).isEqualTo(status)
            post(c.adminPort, "/admin/mode?mode=up")
            expectThat(get(c.port, "/v1/config/manifest").body()).isEqualTo("one")
            expectThat(post(c.adminPort, "/admin/mode?mode=sideways").statusCode()).isEqualTo(400)
        }
    }

    @Nested
    inner class `given the list of VMs` {
        @Test
        fun `a posted list has the next revision and completes a watch`() {
            val v = start(StandinKind.VMS, """"revision": 3, "lagMillis": 50""")
            val watch = async(call("GET", v.port, "/v1/vms?after=3&waitMillis=30000"))
            val vms = """[{"id":"vm-1","zone":"z1","address":"127.0.0.1","port":7001,"state":"leaving"}]"""
            expectThat(post(v.adminPort, "/admin/vms", vms).body()).isEqualTo("""{"revision":4}""")
            expectThat(watch.get(30, TimeUnit.SECONDS).body()).startsWith("""{"revision":4,"vms":[{"id":"vm-1"""")
            expectThat(post(v.adminPort, "/admin/vms", "{}").statusCode()).isEqualTo(400)
        }
    }

    @Nested
    inner class `given a replica of the booking service` {
        @Test
        fun `each call is executed and counted by its key, even if its response is dropped`() {
            val b = start(StandinKind.BOOKING, """"answerMillis": 0""")
            expectThat(post(b.port, "/v1/reservations", "{}").statusCode()).isEqualTo(400)
            expectThat(post(b.port, "/v1/reservations", "{}", key = "k1").statusCode()).isEqualTo(201)
            post(b.adminPort, "/admin/drop-answers?count=1")
            assertThrows<IOException> { post(b.port, "/v1/reservations", "{}", key = "k2") }
            expectThat(get(b.adminPort, "/admin/runs").body()).contains("""{"key":"k1","runs":1},{"key":"k2"""")
            expectThat(get(b.port, "/v1/availability").statusCode()).isEqualTo(200)
        }

        @Test
        fun `a call received while frozen is executed later, even if its caller has timed out`() {
            val b = start(StandinKind.BOOKING, """"answerMillis": 0""")
            post(b.adminPort, "/admin/freeze?millis=1500")
            val impatient = HttpRequest.newBuilder(
                call("POST", b.port, "/v1/reservations", "{}", key = "k1"),
                ANY_HEADER,
            )
            assertThrows<IOException> { send(impatient.timeout(Duration.ofMillis(200)).build()) }
            expectThat(get(b.adminPort, "/admin/runs").body()).contains("""{"key":"k1","runs":1}""")
        }
    }
}

private val ANY_HEADER = BiPredicate<String, String> { _, _ -> true }
