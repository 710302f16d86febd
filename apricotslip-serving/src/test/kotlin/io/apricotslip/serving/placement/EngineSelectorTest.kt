package io.apricotslip.serving.placement

import io.apricotslip.serving.Examples.adapter
import io.apricotslip.serving.Examples.ask
import io.apricotslip.serving.Examples.engine
import io.apricotslip.serving.Examples.server
import io.apricotslip.serving.Examples.zone
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.fleet.ServerUtilization
import io.apricotslip.serving.order.AdapterLoadEstimator
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

class EngineSelectorTest {
    private class Case(
        val name: String,
        val servers: List<Server>,
        val ask: PlacementRequest,
        val expected: (PlacementDecision) -> Boolean,
    )

    private val choice = EngineSelector(zone, AdapterLoadEstimator()) { true }

    private fun Server.with(running: Int, unread: Long) = apply {
        localUtilization =
            ServerUtilization(running, unread, running * 1_600L)
    }

    private fun slow(id: String, vararg adapters: String) = server(id, *adapters).apply {
        repeat(60) { latencyEstimator.recordFirstEvent(tokens = 1_400, millis = 225) }
    }

    private fun Server.useAdapters(count: Int) = repeat(count) { retainAdapter(adapter("$id-$it")) }

    private fun busy(id: String, adapters: Int) =
        server(id, *Array(adapters) { "$id-$it" }).apply { useAdapters(adapters) }

    private fun loading(id: String, name: String) =
        server(id).apply { applyHolderReport(emptyMap(), setOf(adapter(name)), now = 0) }

    private val cases = listOf(
        Case("an idle engine that holds the adapter", listOf(server("e1"), server("e2", "a1")), ask("a1")) {
            it is PlacementDecision.Send && it.server.id.value == "e2"
        },
        Case(
            "a short queue is shorter than a load elsewhere",
            listOf(server("e1"), server("e2", "a1").with(running = 5, unread = 1_400)),
            ask("a1"),
        ) { it is PlacementDecision.Send && it.server.id.value == "e2" },
        Case(
            "a long queue is worth a load elsewhere",
            listOf(server("e1"), server("e2", "a1").with(running = 20, unread = 20_000)),
            ask("a1"),
        ) { it is PlacementDecision.LoadAdapter && it.server.id.value == "e1" },
        Case(
            "a slow engine whose streams would pause too long is passed over",
            listOf(
                slow("e1", "a1").with(running = 10, unread = 1_400),
                server("e2", "a1").with(running = 10, unread = 1_400),
            ),
            ask("a1"),
        ) { it is PlacementDecision.Send && it.server.id.value == "e2" },
        Case(
            "a refusal when every engine is beyond the time that counts",
            listOf(server("e1", "a1").with(running = 64, unread = 60_000)),
            ask("a1"),
        ) {
            it is PlacementDecision.Refuse && it.reason == PlacementDecision.Reason.OVERLOADED &&
                it.retryAfterMillis > 0
        },
        Case("a refusal without servers", emptyList(), ask("a1")) {
            it is PlacementDecision.Refuse && it.reason == PlacementDecision.Reason.NO_SERVER
        },
        Case(
            "an excluded engine is not asked again",
            listOf(server("e1", "a1")),
            ask("a1").copy(excluded = setOf(server("e1").id)),
        ) {
            it is PlacementDecision.Refuse && it.reason == PlacementDecision.Reason.NO_SERVER
        },
        Case(
            "an engine whose places are all in use is passed over",
            listOf(busy("e1", adapters = 20), busy("e2", adapters = 12)),
            ask("a1"),
        ) { it is PlacementDecision.LoadAdapter && it.server.id.value == "e2" },
        Case(
            "a refusal at once when far more adapters are wanted than the store delivers in time",
            List(6) { server("e$it").apply { useAdapters(15) } },
            ask("a1"),
        ) {
            it is PlacementDecision.Refuse && it.reason == PlacementDecision.Reason.OVERLOADED &&
                it.retryAfterMillis > 1_000
        },
        Case("a load that is wanted by others is waited for", listOf(loading("e1", "a1"), server("e2")), ask("a1")) {
            it is PlacementDecision.LoadAdapter && it.server.id.value == "e1"
        },
        Case("an adapter in an older version is loaded anew", listOf(server("e1", "a1")), ask("a1").copy(minVersion = 2)) {
            it is PlacementDecision.LoadAdapter
        },
    )

    @TestFactory
    fun `chooses the engine with the earliest first event`() = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val chosen = choice.choose(case.ask, case.servers, engine, now = 0)
            expectThat(case.expected(chosen)).describedAs("$chosen").isEqualTo(true)
        }
    }

    @Test
    fun `does not load where no order holder is known`() {
        val none = EngineSelector(zone, AdapterLoadEstimator()) { false }
        expectThat(none.choose(ask("a1", budget = 900), listOf(server("e1")), engine, 0)).isA<PlacementDecision.Wait>()
        expectThat(
            none.choose(ask("a1", budget = 100), listOf(server("e1")), engine, 0),
        ).isA<PlacementDecision.Refuse>()
            .get { reason }.isEqualTo(PlacementDecision.Reason.NO_PLACE)
    }

    @Test
    fun `a rare adapter returns to the engine that held it before`() {
        val before = server("e1", "a1")
        before.applyHolderReport(emptyMap(), emptySet(), now = 0)
        val servers = List(5) { server("x$it") } + before
        expectThat(choice.choose(ask("a1"), servers, engine, 0)).isA<PlacementDecision.LoadAdapter>()
            .get { server.id.value }.isEqualTo("e1")
    }

    @Test
    fun `all nodes prefer the same engine for a rare adapter, and not the same for all adapters`() {
        val servers = List(6) { server("e$it") }
        val chosen =
            List(60) { n ->
                (choice.choose(ask("a$n"), servers, engine, 0) as PlacementDecision.LoadAdapter).server.id.value
            }
        val again =
            List(60) { n ->
                (
                    choice.choose(
                        ask("a$n"),
                        servers.reversed(),
                        engine,
                        0,
                    ) as PlacementDecision.LoadAdapter
                    ).server.id.value
            }
        expectThat(again).isEqualTo(chosen)
        expectThat(chosen.toSet().size).isGreaterThan(3)
        expectThat(adapter("a1").toString()).isEqualTo("m/a1")
    }
}
