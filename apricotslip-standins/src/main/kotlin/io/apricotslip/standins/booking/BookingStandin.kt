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

/** Response to a reservation. */
@Serializable
internal data class ReservationBody(val reservation: String, val key: String, val replica: String)

/** Response to an availability check. */
@Serializable
internal data class AvailabilityBody(val available: Int, val replica: String)

/** Number of times that this replica executed reservations with one idempotency key. */
@Serializable
internal data class KeyExecutions(val key: String, val runs: Int)

/** Reservations that this replica executed, in total and by idempotency key. */
@Serializable
internal data class ExecutionsBody(val replica: String, val total: Int, val keys: List<KeyExecutions>)

/**
 * One replica of the booking service. It executes a reservation on every call and does not deduplicate calls with the
 * same idempotency key.
 */
internal class BookingStandin(
    private val settings: BookingSettings,
    private val loop: EventLoop,
    private val history: History,
) : StandinService {
    override val server: StandinServer = StandinServer(settings)
    private val executionsByKey = linkedMapOf<String, Int>()
    private var totalExecutions = 0
    private var answerDelay = Duration.ofMillis(settings.answerMillis)
    private var answersToDrop = 0L

    override fun serviceRoutes(): List<Route> = routes {
        post("/v1/reservations", ::reserve)
        get("/v1/availability") { loop.call { availability() }.flatMap(::delayed) }
    }

    override fun adminRoutes(): List<Route> = routes {
        post("/admin/delay") { call -> update { answerDelay = Duration.ofMillis(call.requiredNumber("millis")) } }
        post("/admin/drop-answers") { call -> update { answersToDrop = call.requiredNumber("count") } }
        get("/admin/runs") { loop.call { Answer.ok(ExecutionsBody.serializer(), executionsBody()) } }
    }

    private fun reserve(call: Call): Mono<Answer> {
        val key = call.header("Idempotency-Key") ?: throw badRequest("Idempotency-Key is missing")
        return loop.call { execute(key) }.flatMap(::delayed)
    }

    private fun execute(key: String): Answer {
        totalExecutions++
        executionsByKey.merge(key, 1, Int::plus)
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
        val body = ReservationBody("${settings.id}-$totalExecutions", key, settings.id)
        return Answer.json(HttpResponseStatus.CREATED, ReservationBody.serializer(), body)
    }

    private fun availability(): Answer = Answer.ok(
        AvailabilityBody.serializer(),
        AvailabilityBody(maxOf(0, settings.available - totalExecutions), settings.id),
    )

    private fun delayed(answer: Answer): Mono<Answer> = Mono.create { sink ->
        loop.execute { loop.schedule(answerDelay) { sink.success(answer) } }
    }

    private fun update(change: () -> Unit): Mono<Answer> = loop.call {
        change()
        Answer.Done
    }

    private fun executionsBody(): ExecutionsBody =
        ExecutionsBody(settings.id, totalExecutions, executionsByKey.map { KeyExecutions(it.key, it.value) })
}
