package io.apricotslip.standins.config

import io.apricotslip.standins.StandinService
import io.apricotslip.standins.http.Answer
import io.apricotslip.standins.http.Call
import io.apricotslip.standins.http.ErrorBody
import io.apricotslip.standins.http.Route
import io.apricotslip.standins.http.StandinServer
import io.apricotslip.standins.http.routes
import io.apricotslip.standins.loop.EventLoop
import io.apricotslip.standins.platform.PlatformGate
import io.apricotslip.standins.platform.Publication
import io.apricotslip.standins.platform.PublishedValue
import io.apricotslip.standins.platform.ReadResult
import io.apricotslip.standins.platform.toAnswer
import io.apricotslip.standins.settings.ConfigSettings
import io.netty.handler.codec.http.HttpResponseStatus
import reactor.core.publisher.Mono
import java.io.File
import java.time.Duration

/** The configuration service. Callers read and watch values; values are committed only through the admin port. */
internal class ConfigStandin(private val settings: ConfigSettings, private val loop: EventLoop) : StandinService {
    override val server: StandinServer = StandinServer(settings)
    private val gate = PlatformGate(server, settings.whenDown)
    private val publications = mutableMapOf<String, Publication>()
    private val callCounter = CallCounter(settings.callsPerSecond)
    private var isStale = false

    init {
        settings.values.forEach { publication(it.key).publish(PublishedValue(it.revision, File(it.file).readText())) }
    }

    override fun serviceRoutes(): List<Route> = routes {
        get("/v1/config/{key}") { call -> gate.guard { read(call) } }
    }

    override fun adminRoutes(): List<Route> = routes {
        post("/admin/commit/{key}", ::commit)
        post("/admin/mode") { call -> gate.change(call) { stale -> loop.execute { setStale(stale) } } }
        get("/admin/calls") { loop.call { Answer.ok(CallCounts.serializer(), callCounter.counts()) } }
    }

    private fun read(call: Call): Mono<Answer> {
        val after = call.number("after")
        val wait = minOf(call.millis("waitMillis"), Duration.ofMillis(settings.maxWaitMillis))
        return loop
            .call { callCounter.admit(loop.nanos(), isWatch = after != null) }
            .flatMap { admitted -> if (admitted) answer(call.path("key"), after, wait) else Mono.just(tooManyCalls()) }
    }

    private fun answer(key: String, after: Long?, wait: Duration): Mono<Answer> {
        val result = loop.call { publication(key) }.flatMap {
            if (after == null) loop.call<ReadResult>(it::read) else it.watch(after, wait)
        }
        return result.map(ReadResult::toAnswer)
    }

    private fun tooManyCalls(): Answer = Answer.error(HttpResponseStatus.TOO_MANY_REQUESTS, ErrorBody("too_many_calls"))

    private fun commit(call: Call): Mono<Answer> = loop.call {
        if (call.body.toByteArray().size > settings.maxValueBytes) {
            Answer.error(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, ErrorBody("value_too_large"))
        } else {
            val publication = publication(call.path("key"))
            val revision = call.number("revision") ?: ((publication.newest?.revision ?: 0) + 1)
            publication.publish(PublishedValue(revision, call.body))
            Answer.Done
        }
    }

    private fun setStale(stale: Boolean) {
        isStale = stale
        publications.values.forEach { it.setStale(stale) }
    }

    private fun publication(key: String): Publication =
        publications.getOrPut(key) { Publication(loop).also { it.setStale(isStale) } }
}
