package io.apricotslip.standins.engine

import io.apricotslip.api.id.AdapterId
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.VersionId
import io.apricotslip.standins.StandinService
import io.apricotslip.standins.history.History
import io.apricotslip.standins.http.Answer
import io.apricotslip.standins.http.Call
import io.apricotslip.standins.http.ErrorBody
import io.apricotslip.standins.http.Route
import io.apricotslip.standins.http.StandinServer
import io.apricotslip.standins.http.badRequest
import io.apricotslip.standins.http.routes
import io.apricotslip.standins.loop.EventLoop
import io.apricotslip.standins.settings.EngineSettings
import io.netty.handler.codec.http.HttpResponseStatus
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Mono
import java.time.Duration

/** Stand-in for an engine: serves its HTTP API and the admin API for tests. */
internal class EngineStandin(private val settings: EngineSettings, private val loop: EventLoop, history: History) :
    StandinService {
    override val server: StandinServer = StandinServer(settings)
    private val engine = Engine(settings, loop, WeightSource.of(settings.id, settings.load, loop), history)

    override fun serviceRoutes(): List<Route> = routes {
        post("/v1/completions", ::start)
        get("/v1/completions/{id}", ::resume)
        delete("/v1/completions/{id}", ::cancel)
        post("/v1/adapters/load", ::load)
        post("/v1/adapters/evict", ::evict)
        get("/v1/report", ::report)
        get("/v1/cache-events", ::cacheEvents)
    }

    override fun adminRoutes(): List<Route> = routes {
        post("/admin/restart", ::restart)
        post("/admin/fail-loads") { call -> control("fail-loads") { failLoads(call) } }
        get("/admin/state") { loop.call { Answer.ok(EngineState.serializer(), engine.state()) } }
    }

    private fun start(call: Call): Mono<Answer> {
        val body = call.json(CompletionBody.serializer())
        val adapter = validate(body)
        return loop.call { engine.start(body, adapter) }.map { answer ->
            when (answer) {
                is StartAnswer.Accepted -> Answer.Events(answer.stream.read(from = 0))
                is StartAnswer.Refused -> refusal(answer.reason)
            }
        }
    }

    private fun validate(body: CompletionBody): AdapterVersion {
        val problem = when {
            body.requestId.isBlank() -> "request_id is empty"
            body.maxTokens !in 1..settings.maxTokens -> "max_tokens is out of range"
            body.prompt.length > settings.maxPromptChars -> "prompt is too long"
            body.priority < 0 -> "priority is negative"
            !body.stream -> "stream must be true"
            else -> null
        }
        if (problem != null) throw badRequest(problem)
        return AdapterVersion.parse(body.model) ?: throw badRequest("model must be adapter@version")
    }

    private fun refusal(reason: StartAnswer.Reason): Answer {
        val status = when (reason) {
            StartAnswer.Reason.ADAPTER_NOT_RESIDENT -> HttpResponseStatus.CONFLICT
            StartAnswer.Reason.DUPLICATE_REQUEST -> HttpResponseStatus.CONFLICT
            StartAnswer.Reason.FULL -> HttpResponseStatus.TOO_MANY_REQUESTS
            StartAnswer.Reason.STARTING -> HttpResponseStatus.SERVICE_UNAVAILABLE
        }
        return Answer.error(status, ErrorBody(reason.name.lowercase()))
    }

    private fun resume(call: Call): Mono<Answer> {
        val from = call.number("from") ?: 0
        return loop.call {
            val stream = engine.stream(call.path("id"))
            when {
                stream == null -> Answer.error(HttpResponseStatus.NOT_FOUND, ErrorBody("unknown_request"))
                from > stream.body.maxTokens -> throw badRequest("from is beyond the end")
                else -> Answer.Events(stream.read(from.toInt()))
            }
        }
    }

    private fun cancel(call: Call): Mono<Answer> = loop.call {
        engine.cancel(call.path("id"))
        Answer.Done
    }

    private fun load(call: Call): Mono<Answer> {
        val order = call.json(OrderBody.serializer())
        return loop.call { engine.load(order.adapterVersion(), order.fence) }.flatMap { it }.map(::orderAnswer)
    }

    private fun evict(call: Call): Mono<Answer> {
        val order = call.json(OrderBody.serializer())
        return loop.call { engine.evict(order.adapterVersion(), order.fence) }.map(::orderAnswer)
    }

    private fun OrderBody.adapterVersion(): AdapterVersion {
        if (adapter.isBlank()) throw badRequest("adapter is empty")
        if (version.isBlank()) throw badRequest("version is empty")
        return AdapterVersion(AdapterId(adapter), VersionId(version))
    }

    private fun orderAnswer(answer: OrderAnswer): Answer = when (answer) {
        is OrderAnswer.Done -> Answer.ok(SequenceBody.serializer(), SequenceBody(answer.sequence))

        is OrderAnswer.StaleFence ->
            Answer.error(HttpResponseStatus.CONFLICT, ErrorBody("stale_fence", highest = answer.highest))

        is OrderAnswer.Full -> Answer.error(HttpResponseStatus.CONFLICT, ErrorBody("full"))

        is OrderAnswer.LoadFailed -> Answer.error(HttpResponseStatus.BAD_GATEWAY, ErrorBody("load_failed"))

        is OrderAnswer.Starting -> Answer.error(HttpResponseStatus.SERVICE_UNAVAILABLE, ErrorBody("starting"))

        is OrderAnswer.NotResident ->
            Answer.error(HttpResponseStatus.NOT_FOUND, ErrorBody("not_resident", sequence = answer.sequence))
    }

    private fun report(call: Call): Mono<Answer> {
        val after = call.number("after") ?: 0
        val wait = call.millis("waitMillis")
        return loop
            .call { engine.report(after, wait) }
            .flatMap { it }
            .map { Answer.ok(Report.serializer(), it) }
    }

    private fun cacheEvents(call: Call): Mono<Answer> = loop.call {
        Answer.ok(CacheEvents.serializer(), engine.cacheEvents(call.number("after") ?: 0))
    }

    private fun restart(call: Call): Mono<Answer> {
        val startupTime = Duration.ofMillis(call.number("coldMillis") ?: settings.coldMillis)
        return control("restart") {
            server.closeConnections()
            engine.restart(startupTime)
        }
    }

    private fun failLoads(call: Call) {
        engine.remainingLoadFailures = call.requiredNumber("count")
    }

    private fun control(name: String, change: () -> Unit): Mono<Answer> = loop.call {
        change()
        Logger.info { "event=control standin=${settings.id} step=$name" }
        Answer.Done
    }
}
