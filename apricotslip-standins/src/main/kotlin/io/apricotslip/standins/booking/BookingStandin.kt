package io.apricotslip.standins.booking

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.history.HistoryEvent
import io.apricotslip.standins.StandinService
import io.apricotslip.standins.history.History
import io.apricotslip.standins.http.Answer
import io.apricotslip.standins.http.Call
import io.apricotslip.standins.http.Route
import io.apricotslip.standins.http.StandinServer
import io.apricotslip.standins.http.badRequest
import io.apricotslip.standins.http.routes
import io.apricotslip.standins.loop.EventLoop
import io.apricotslip.standins.settings.BookingSettings
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.Serializable
import reactor.core.publisher.Mono
import java.time.Duration

/** Answer to a reservation. */
@Serializable
internal data class ReservationBody(val reservation: String, val key: String, val replica: String)

/** Answer to an availability check. */
@Serializable
internal data class AvailabilityBody(val available: Int, val replica: String)

/** Runs of one key at this replica. */
@Serializable
internal data class KeyRuns(val key: String, val runs: Int)

/** What this replica ran. */
@Serializable
internal data class RunsBody(val replica: String, val total: Int, val keys: List<KeyRuns>)

/** One replica of the booking service. It runs a reservation each time it is called, also twice for one key. */
internal class BookingStandin(
    private val settings: BookingSettings,
    private val loop: EventLoop,
    private val history: History,
) : StandinService {
    override val server: StandinServer = StandinServer(settings)
    private val runs = linkedMapOf<String, Int>()
    private var total = 0
    private var delay = Duration.ofMillis(settings.answerMillis)
    private var answersToDrop = 0L

    override fun serviceRoutes(): List<Route> = routes {
        post("/v1/reservations", ::reserve)
        get("/v1/availability") { loop.call { availability() }.flatMap(::late) }
    }

    override fun adminRoutes(): List<Route> = routes {
        post("/admin/delay") { call -> control { delay = Duration.ofMillis(call.requiredNumber("millis")) } }
        post("/admin/drop-answers") { call -> control { answersToDrop = call.requiredNumber("count") } }
        get("/admin/runs") { loop.call { Answer.ok(RunsBody.serializer(), runsBody()) } }
    }

    private fun reserve(call: Call): Mono<Answer> {
        val key = call.header("Idempotency-Key") ?: throw badRequest("Idempotency-Key is missing")
        return loop.call { run(key) }.flatMap(::late)
    }

    private fun run(key: String): Answer {
        total++
        runs.merge(key, 1, Int::plus)
        history.record(
            HistoryEvent(
                at = System.nanoTime(),
                process = settings.id,
                kind = EventKind.RESERVE,
                server = settings.id,
                key = key,
            ),
        )
        if (answersToDrop > 0) {
            answersToDrop--
            return Answer.Drop
        }
        val body = ReservationBody("${settings.id}-$total", key, settings.id)
        return Answer.json(HttpResponseStatus.CREATED, ReservationBody.serializer(), body)
    }

    private fun availability(): Answer =
        Answer.ok(AvailabilityBody.serializer(), AvailabilityBody(maxOf(0, settings.available - total), settings.id))

    private fun late(answer: Answer): Mono<Answer> = Mono.create { sink ->
        loop.execute { loop.schedule(delay) { sink.success(answer) } }
    }

    private fun control(change: () -> Unit): Mono<Answer> = loop.call {
        change()
        Answer.Done
    }

    private fun runsBody(): RunsBody = RunsBody(settings.id, total, runs.map { KeyRuns(it.key, it.value) })
}
