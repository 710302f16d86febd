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

/** Answer to the control that makes connections silent. */
@Serializable
internal data class SilencedBody(val connections: Int)

/** Controls that every stand-in has: frozen for a while, and open connections silent for good. */
internal class CommonControls(private val id: String, private val server: StandinServer, private val loop: EventLoop) {
    /** The routes of the controls. */
    fun routes(): List<Route> = routes {
        post("/admin/freeze", ::freeze)
        post("/admin/silence") { silence() }
    }

    private fun freeze(call: Call): Mono<Answer> {
        val time = call.millis("millis")
        return loop.call {
            loop.freeze(time)
            Logger.info { "event=control standin=$id step=freeze millis=${time.toMillis()}" }
            Answer.Done
        }
    }

    private fun silence(): Mono<Answer> = Mono.fromCallable {
        val connections = server.silence()
        Logger.info { "event=control standin=$id step=silence connections=$connections" }
        Answer.ok(SilencedBody.serializer(), SilencedBody(connections))
    }
}
