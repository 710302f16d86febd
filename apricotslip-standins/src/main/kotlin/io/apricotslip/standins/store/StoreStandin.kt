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

/** An engine's call of the store; also what the store answers when the weights are there. */
@Serializable
internal data class LoadCall(val engine: String, val adapter: String, val version: String)

/** The rate-limited weight store. */
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
                store.failuresToCome = call.requiredNumber("count")
                Answer.Done
            }
        }
        get("/admin/state") { loop.call { Answer.ok(StoreState.serializer(), store.state()) } }
    }

    private fun load(call: Call): Mono<Answer> {
        val body = call.json(LoadCall.serializer())
        return store.load().map { answer(body, it) }
    }

    private fun answer(body: LoadCall, result: LoadResult): Answer {
        record(body, result)
        return when (result) {
            LoadResult.LOADED -> Answer.ok(LoadCall.serializer(), body)
            LoadResult.FAILED -> Answer.error(HttpResponseStatus.BAD_GATEWAY, ErrorBody("load_failed"))
        }
    }

    private fun record(body: LoadCall, result: LoadResult) {
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
