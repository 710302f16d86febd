package io.apricotslip.standins.store

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.standins.StandinService
import io.apricotslip.standins.history.History
import io.apricotslip.standins.http.Answer
import io.apricotslip.standins.http.Call
import io.apricotslip.standins.http.ErrorBody
import io.apricotslip.standins.http.Route
import io.apricotslip.standins.http.StandinServer
import io.apricotslip.standins.http.routes
import io.apricotslip.standins.loop.EventLoop
import io.apricotslip.standins.settings.StoreSettings
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.Serializable
import reactor.core.publisher.Mono

/** Load request of an engine to the store; the store echoes it as the response when the load succeeds. */
@Serializable
internal data class StoreLoadRequest(val engine: String, val adapter: String, val version: String)

/** Stand-in for the rate-limited weight store: serves its HTTP API and the admin API for tests. */
internal class StoreStandin(
    private val settings: StoreSettings,
    private val loop: EventLoop,
    private val history: History,
) : StandinService {
    override val server: StandinServer = StandinServer(settings)
    private val store = WeightStore(settings, loop)

    override fun serviceRoutes(): List<Route> = routes {
        post("/v1/loads", ::load)
    }

    override fun adminRoutes(): List<Route> = routes {
        post("/admin/fail") { call ->
            loop.call {
                store.remainingFailures = call.requiredNumber("count")
                Answer.Done
            }
        }
        get("/admin/state") { loop.call { Answer.ok(StoreState.serializer(), store.state()) } }
    }

    private fun load(call: Call): Mono<Answer> {
        val body = call.json(StoreLoadRequest.serializer())
        return store.load().map { answer(body, it) }
    }

    private fun answer(body: StoreLoadRequest, result: LoadResult): Answer {
        record(body, result)
        return when (result) {
            LoadResult.LOADED -> Answer.ok(StoreLoadRequest.serializer(), body)
            LoadResult.FAILED -> Answer.error(HttpResponseStatus.BAD_GATEWAY, ErrorBody("load_failed"))
        }
    }

    private fun record(body: StoreLoadRequest, result: LoadResult) {
        history.record(
            HistoryEvent(
                at = System.nanoTime(),
                process = settings.id,
                kind = EventKind.LOAD,
                server = body.engine,
                adapter = body.adapter,
                version = body.version,
                detail = result.name.lowercase(),
            ),
        )
    }
}
