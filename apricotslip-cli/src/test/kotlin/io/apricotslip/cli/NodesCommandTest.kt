package io.apricotslip.cli

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import reactor.core.publisher.Mono
import reactor.netty.tcp.TcpServer
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import java.nio.file.Files
import java.nio.file.Path

/** Output and exit codes of the commands that call nodes, against stub nodes that agree, differ, fail or need a key. */
class NodesCommandTest {
    private val openNodes = mutableListOf<StubNode>()

    @AfterEach
    fun close() = openNodes.forEach(StubNode::close)

    private fun node(call: String, answer: String, key: String? = null): String =
        StubNode(mapOf(call to answer), key).also(openNodes::add).address

    private fun inForce(vm: String, revision: Long?) =
        """{"vm":"$vm","revision":$revision,"source":"platform","inForceMillis":1500,""" +
            """"models":1,"adapters":3000,"engines":6,"services":1}"""

    private fun status(notReady: String) =
        """{"vm":"vm-1","zone":"z1","version":"0.1.0","uptimeMillis":60000,"notReady":[$notReady],"stopping":false,
        "leaseHeld":true,"listRevision":4,"tenuredRevision":4,"manifestRevision":7,"running":2,
        "peers":[{"vm":"vm-2","connected":true,"listRevision":4,"manifestRevision":7}],
        "engines":[{"server":"e1","role":"owner","reachable":true}],"addedLater":1}"""

    @Nested
    inner class `given one node` {
        @ParameterizedTest
        @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            value = [
                "manifest refused | GET /v1/refused | [] | OK | No manifest was refused.",
                "manifest refused | GET /v1/refused | [{\"publishedRevision\":9,\"source\":\"platform\"," +
                    "\"agoMillis\":10,\"faults\":[{\"path\":\"models\",\"reason\":\"missing\"}]}] | FAULT | missing",
                "running | GET /v1/running | [] | OK | No request is in progress.",
                "running | GET /v1/running | [{\"request\":\"r1\",\"adapter\":{\"adapter\":\"club-1\"," +
                    "\"version\":\"v2\"},\"server\":null,\"workClass\":\"plan\",\"customer\":\"c\"," +
                    "\"step\":\"queue\",\"tokens\":0,\"ageMillis\":1}] | OK | club-1@v2  -       plan",
                "drain | POST /v1/drain | {\"vm\":\"vm-1\",\"draining\":true,\"running\":3} | OK | vm-1  yes       3",
            ],
        )
        fun `its answer is printed`(command: String, call: String, answer: String, code: ExitCode, expected: String) {
            val result = runCli(*command.split(' ').toTypedArray(), "--node", node(call, answer))
            expectThat(result.out).contains(expected)
            expectThat(result.code).isEqualTo(code)
        }

        @ParameterizedTest
        @ValueSource(strings = ["0200 OK\r\n", "200 OK\r\nX Y: 1\r\n"])
        fun `an answer with a broken head is a failure`(head: String) {
            val answer = "HTTP/1.1 ${head}Content-Length: 2\r\n\r\n[]"
            val raw = TcpServer.create().host("127.0.0.1").port(0)
                .handle { input, out -> input.receive().take(1).thenMany(out.sendString(Mono.just(answer))) }
                .bindNow()
            val result = runCli("running", "--node", "127.0.0.1:${raw.port()}")
            raw.disposeNow()
            expectThat(result.code).isNotEqualTo(ExitCode.OK)
        }

        @ParameterizedTest
        @CsvSource("'',OK", "'\"lease lost\"',FAULT")
        fun `status succeeds only when the node is ready`(notReady: String, code: ExitCode) {
            val result = runCli("status", "--node", node("GET /v1/status", status(notReady)))
            expectThat(result.code).isEqualTo(code)
            expectThat(result.out).contains("1 of 1").contains("e1      vm-1  owner")
        }
    }

    @Nested
    inner class `given several nodes` {
        private val call = "GET /v1/manifest"

        @Test
        fun `in-force reports that all nodes agree`() {
            val nodes = listOf(node(call, inForce("vm-1", 7)), node(call, inForce("vm-2", 7)))
            val environment = mapOf("APRICOTSLIP_NODES" to nodes.joinToString(","))
            val result = runCli("manifest", "in-force", environment = environment)
            expectThat(result.code).isEqualTo(ExitCode.OK)
            expectThat(result.out).contains("Revision 7 is in force on all 2 nodes")
        }

        @Test
        fun `in-force lists the revision of each node when they differ`() {
            val result =
                runCli(
                    "manifest",
                    "in-force",
                    "--node",
                    node(call, inForce("vm-1", 7)),
                    "--node",
                    node(call, inForce("vm-2", 8)),
                )
            expectThat(result.code).isEqualTo(ExitCode.FAULT)
            expectThat(result.out).contains("do not agree: 7 on vm-1; 8 on vm-2")
        }

        @Test
        fun `the answers of the other nodes are printed when one is unreachable`() {
            val closed = StubNode(emptyMap()).use { it.address }
            val result = runCli("manifest", "in-force", "--node", closed, "--node", node(call, inForce("vm-2", 8)))
            expectThat(result.code).isEqualTo(ExitCode.NO_ANSWER)
            expectThat(result.out).contains("vm-2")
            expectThat(result.err).contains("step=in-force peer=$closed")
        }

        @Test
        fun `the JSON report has an answer or an error for each node`() {
            val good = node(call, inForce("vm-2", 8))
            val result = runCli("manifest", "in-force", "--json", "--node", good, "--node", node(call, "503"))
            val report = Json.parseToJsonElement(result.out).jsonObject
            val reports = report.getValue("nodes").jsonArray.map { it.jsonObject }
            expectThat(
                reports[0].getValue("answer").jsonObject.getValue("revision").jsonPrimitive.content,
            ).isEqualTo("8")
            expectThat(
                reports[1].getValue("error").jsonObject.getValue("step").jsonPrimitive.content,
            ).isEqualTo("in-force")
        }
    }

    @Nested
    inner class `given a node without a usable answer` {
        @ParameterizedTest
        @CsvSource(
            delimiter = '|',
            value = [
                "never | NO_ANSWER | no answer within 200 ms",
                "500 | NO_ANSWER | answered 500",
                "{} | NO_ANSWER | answered something else",
                "401 | NOT_AUTHORIZED | needs a key",
                "403 | NOT_AUTHORIZED | loopback",
            ],
        )
        fun `the error and the exit code give the reason`(answer: String, code: ExitCode, reason: String) {
            val path = if (answer == "never") "GET /other" else "GET /v1/status"
            val result = runCli("status", "--timeout-millis", "200", "--node", node(path, answer))
            expectThat(result.code).isEqualTo(code)
            expectThat(result.err).contains(reason)
            expectThat(result.out).isEmpty()
        }
    }

    @Nested
    inner class `given a node that requires a key` {
        @TempDir
        lateinit var dir: Path

        @ParameterizedTest
        @CsvSource("right,OK", "wrong,NOT_AUTHORIZED")
        fun `the key in the key file is sent`(key: String, code: ExitCode) {
            val file = Files.writeString(dir.resolve("key"), "$key\n")
            val node = node("GET /v1/running", "[]", key = "right")
            expectThat(runCli("running", "--node", node, "--key-file", "$file").code).isEqualTo(code)
        }
    }
}
