package io.apricotslip.core.service

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.manifest.ReplicaEntry
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.api.outcome.Outcome
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.outcome.Step
import io.apricotslip.backends.service.ServiceCall
import io.apricotslip.backends.service.ServiceClient
import io.apricotslip.core.entry.EntryContext
import io.apricotslip.safety.ReservationDecision
import io.apricotslip.safety.Reservations
import io.apricotslip.safety.StoredAnswer
import io.apricotslip.wire.Message
import io.opentelemetry.api.trace.SpanKind

/** Keyed calls at the home VM of their keys: each runs at most once. Used on the loop. */
internal class HomeCalls(
    private val ctx: EntryContext,
    private val reservations: Reservations,
    private val client: ServiceClient,
    private val wallMillis: () -> Long,
) {
    private var turn = 0

    /** Keyed calls that run now. */
    var running: Int = 0
        private set

    /** Handles a message of an entry VM; returns whether it was one for home VMs. */
    fun receive(from: VmId, message: Message): Boolean {
        if (message !is Message.ReserveStart) return false
        decide(from, message)
        return true
    }

    private fun decide(from: VmId, message: Message.ReserveStart) {
        val decision = reservations.begin(message.key, wallMillis(), ctx.loop.now())
        ctx.metrics.recordReservation(decision.javaClass.simpleName)
        val refusal =
            when (decision) {
                is ReservationDecision.Run -> return run(from, message)
                is ReservationDecision.Repeat -> return repeat(from, message, decision.answer)
                is ReservationDecision.InProgress -> unknown(RefusalCode.REPEATED_KEY, "the key is running")
                is ReservationDecision.NotHome -> notRun(RefusalCode.NOT_READY, "this VM is not the home of the key")
                is ReservationDecision.NotTenured -> notRun(RefusalCode.NOT_READY, "this VM may not act as home now")
                is ReservationDecision.BeforeTenure -> unknown(
                    RefusalCode.KEY_BEFORE_TENURE,
                    "another VM may have run the key",
                )
                is ReservationDecision.Expired -> unknown(
                    RefusalCode.KEY_BEFORE_TENURE,
                    "the key is older than the retention",
                )
                is ReservationDecision.FromFuture -> notRun(RefusalCode.BAD_KEY, "the key was minted in the future")
                is ReservationDecision.BadKey -> notRun(RefusalCode.BAD_KEY, decision.reason)
            }
        ctx.links.send(from, Message.ReserveRefused(message.request, refusal))
    }

    private fun run(from: VmId, message: Message.ReserveStart) {
        val replicas = ctx.manifests.current?.service(message.service)?.replicas.orEmpty()
        running++
        attempt(from, message, ReplicaTurn.order(replicas, turn++))
    }

    /** Tries the next replica only on proof that the one before did not run the call. */
    private fun attempt(from: VmId, message: Message.ReserveStart, replicas: List<ReplicaEntry>) {
        val replica = replicas.firstOrNull()
        if (replica == null) {
            reservations.notRun(message.key)
            return refuse(from, message, notRun(RefusalCode.NO_BACKEND_SERVER, "no active replica took the call"))
        }
        val span = ctx.traces.startSpan("service", SpanKind.CLIENT, message.traceparent)
        val call = toCall(message, ctx.traces.traceparent(span))
        client
            .call(replica, call)
            .publishOn(ctx.loop.scheduler)
            .doFinally { span.end() }
            .subscribe { outcome ->
                when (outcome) {
                    is Outcome.Completed -> {
                        val value = outcome.value
                        complete(
                            from,
                            message,
                            StoredAnswer.Completed(value.status, value.contentType, value.body, replica.id),
                        )
                    }

                    is Outcome.NotRun -> attempt(from, message, replicas.drop(1))

                    is Outcome.Unknown -> {
                        reservations.outcomeUnknown(message.key)
                        refuse(from, message, outcome.refusal)
                    }
                }
            }
    }

    private fun repeat(from: VmId, message: Message.ReserveStart, answer: StoredAnswer) {
        when (answer) {
            is StoredAnswer.Completed -> reply(from, message, answer)

            is StoredAnswer.Unknown -> {
                val refusal = unknown(RefusalCode.REPEATED_KEY, "the key may have run; its answer was lost")
                ctx.links.send(from, Message.ReserveRefused(message.request, refusal))
            }
        }
    }

    private fun complete(from: VmId, message: Message.ReserveStart, answer: StoredAnswer.Completed) {
        running--
        reservations.completed(message.key, answer)
        reply(from, message, answer)
    }

    private fun refuse(from: VmId, message: Message.ReserveStart, refusal: Refusal) {
        running--
        ctx.links.send(from, Message.ReserveRefused(message.request, refusal))
    }

    private fun reply(from: VmId, message: Message.ReserveStart, answer: StoredAnswer.Completed) {
        val server: BackendServerId = answer.server
        ctx.links.send(
            from,
            Message.ReserveEnd(message.request, answer.status, answer.contentType, answer.body, server),
        )
    }

    private fun toCall(message: Message.ReserveStart, traceparent: String?) = ServiceCall(
        method = message.method,
        path = message.path,
        contentType = message.contentType,
        body = message.body,
        idempotencyKey = message.key,
        traceparent = traceparent,
    )

    private fun notRun(code: RefusalCode, detail: String) =
        Refusal(code, Step.RESERVE, ctx.self.value, Certainty.NOT_RUN, detail)

    private fun unknown(code: RefusalCode, detail: String) =
        Refusal(code, Step.RESERVE, ctx.self.value, Certainty.UNKNOWN, detail)
}
