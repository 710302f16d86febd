package io.apricotslip.gateway.peer

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ModelId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.fleet.ServerEntry
import io.apricotslip.serving.published.StorePosition
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

/** Guards against an adapter that another node takes for one of another model. */
class AdapterNamesTest {
    private class Case(val models: List<String>, val adapter: String, val name: String)

    private val cases = listOf(
        Case(listOf("m"), "m/a1", "/a1"),
        Case(listOf("m"), "n/a1", "n/a1"),
        Case(listOf("m", "n"), "m/a1", "m/a1"),
        Case(emptyList(), "m/a1", "m/a1"),
        Case(listOf("m"), "m", "m"),
    )

    private fun server(models: List<String>) = Server(
        ServerEntry(
            id = BackendServerId("e1"),
            service = ServiceId("draft"),
            host = "127.0.0.1",
            port = 1,
            zone = ZoneId("a"),
            startedAtMillis = 1,
            requestSlots = 8,
            models = models.mapTo(HashSet()) { ModelId(it) },
        ),
        position = StorePosition(0, 1),
        now = 0,
    )

    @TestFactory
    fun `a name leaves out the model only when the server has no other`() = cases.map { case ->
        DynamicTest.dynamicTest("${case.adapter} at ${case.models}") {
            val server = server(case.models)
            val adapter = ServedAdapter.parse(case.adapter)
            expectThat(AdapterNames.encode(server, adapter)).isEqualTo(case.name)
            expectThat(AdapterNames.decode(server, case.name)).isEqualTo(adapter)
        }
    }

    @Test
    fun `a name without a model is not understood for a server that has two`() {
        expectThat(AdapterNames.decode(server(listOf("m", "n")), "/a1")).isNull()
    }
}
