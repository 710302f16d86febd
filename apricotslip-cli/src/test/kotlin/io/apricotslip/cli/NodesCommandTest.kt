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
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.nio.file.Files
import java.nio.file.Path

class NodesCommandTest {
    private val open = mutableListOf<StubNode>()

    @AfterEach
    fun close() = open.forEach(StubNode::close)

    private fun node(call: String, answer: String, key: String? = null): String =
        StubNode(mapOf(call to answer), key).also(open::add).address

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
        fun `its answer is shown`(command: String, call: String, answer: String, code: ExitCode, shown: String) {
            val run = run(*command.split(' ').toTypedArray(), "--node", node(call, answer))
            expectThat(run.out).contains(shown)
            expectThat(run.code).isEqualTo(code)
        }

        @ParameterizedTest
        @CsvSource("'',OK", "'\"lease lost\"',FAULT")
        fun `the status is sound when the node is ready`(notReady: String, code: ExitCode) {
            val run = run("status", "--node", node("GET /v1/status", status(notReady)))
            expectThat(run.code).isEqualTo(code)
            expectThat(run.out).contains("1 of 1").contains("e1      vm-1  owner")
        }
    }

    @Nested
    inner class `given several nodes` {
        private val call = "GET /v1/manifest"

        @Test
        fun `in-force says that all agree`() {
            val nodes = listOf(node(call, inForce("vm-1", 7)), node(call, inForce("vm-2", 7)))
            val run = run("manifest", "in-force", environment = mapOf("APRICOTSLIP_NODES" to nodes.joinToString(",")))
            expectThat(run.code).isEqualTo(ExitCode.OK)
            expectThat(run.out).contains("Revision 7 is in force on all 2 nodes")
        }

        @Test
        fun `in-force says who differs`() {
            val run =
                run(
                    "manifest",
                    "in-force",
                    "--node",
                    node(call, inForce("vm-1", 7)),
                    "--node",
                    node(call, inForce("vm-2", 8)),
                )
            expectThat(run.code).isEqualTo(ExitCode.FAULT)
            expectThat(run.out).contains("do not agree: 7 on vm-1; 8 on vm-2")
        }

        @Test
        fun `the answers of the others are shown when one is unreachable`() {
            val closed = StubNode(emptyMap()).use { it.address }
            val run = run("manifest", "in-force", "--node", closed, "--node", node(call, inForce("vm-2", 8)))
            expectThat(run.code).isEqualTo(ExitCode.NO_ANSWER)
            expectThat(run.out).contains("vm-2")
            expectThat(run.err).contains("step=in-force peer=$closed")
        }

        @Test
        fun `JSON holds an answer or an error for each`() {
            val good = node(call, inForce("vm-2", 8))
            val run = run("manifest", "in-force", "--json", "--node", good, "--node", node(call, "503"))
            val report = Json.parseToJsonElement(run.out).jsonObject
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
        fun `the error and the exit code say so`(answer: String, code: ExitCode, reason: String) {
            val path = if (answer == "never") "GET /other" else "GET /v1/status"
            val run = run("status", "--timeout-millis", "200", "--node", node(path, answer))
            expectThat(run.code).isEqualTo(code)
            expectThat(run.err).contains(reason)
            expectThat(run.out).isEmpty()
        }
    }

    @Nested
    inner class `given a node with keys` {
        @TempDir
        lateinit var dir: Path

        @ParameterizedTest
        @CsvSource("right,OK", "wrong,NOT_AUTHORIZED")
        fun `the key of the file is sent`(key: String, code: ExitCode) {
            val file = Files.writeString(dir.resolve("key"), "$key\n")
            val node = node("GET /v1/running", "[]", key = "right")
            expectThat(run("running", "--node", node, "--key-file", "$file").code).isEqualTo(code)
        }
    }
}
