package io.apricotslip.standins

import io.apricotslip.standins.http.Answer
import io.apricotslip.standins.http.Call
import io.apricotslip.standins.http.Route
import io.apricotslip.standins.http.StandinServer
import io.apricotslip.standins.http.routes
import io.apricotslip.standins.loop.EventLoop
import kotlinx.serialization.Serializable
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Mono

/** Response of `/admin/silence`: the number of connections that were silenced. */
@Serializable
internal data class SilencedBody(val connections: Int)

/**
 * Admin endpoints that every stand-in has: one freezes its event loop for a given time, the other silences the
 * open connections permanently.
 */
internal class CommonControls(private val id: String, private val server: StandinServer, private val loop: EventLoop) {
    /** Routes of the common admin endpoints. */
    fun routes(): List<Route> = routes {
        post("/admin/freeze", ::freeze)
        post("/admin/silence") { silence() }
    }

    private fun freeze(call: Call): Mono<Answer> {
        val duration = call.millis("millis")
        return loop.call {
            loop.freeze(duration)
            Logger.info { "event=control standin=$id step=freeze millis=${duration.toMillis()}" }
            Answer.Done
        }
    }

    private fun silence(): Mono<Answer> = Mono.fromCallable {
        val connections = server.silence()
        Logger.info { "event=control standin=$id step=silence connections=$connections" }
        Answer.ok(SilencedBody.serializer(), SilencedBody(connections))
    }
}
