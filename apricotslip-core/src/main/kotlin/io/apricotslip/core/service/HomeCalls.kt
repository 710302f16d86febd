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

/** Executes keyed calls at the home VM of their keys, each at most once. Confined to the node loop. */
internal class HomeCalls(
    private val ctx: EntryContext,
    private val reservations: Reservations,
    private val client: ServiceClient,
    private val wallMillis: () -> Long,
) {
    private var nextTurn = 0

    /** Number of keyed calls in progress. */
    var running: Int = 0
        private set

    /** Handles a message from an entry VM; returns whether it was addressed to the home role. */
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
                is ReservationDecision.Run -> return execute(from, message)
                is ReservationDecision.Repeat -> return replyStored(from, message, decision.answer)
                is ReservationDecision.InProgress -> refusedUnknown(RefusalCode.REPEATED_KEY, "the key is running")
                is ReservationDecision.NotHome -> refusedNotRun(
                    RefusalCode.NOT_READY,
                    "this VM is not the home of the key",
                )
                is ReservationDecision.NotTenured -> refusedNotRun(
                    RefusalCode.NOT_READY,
                    "this VM may not act as home now",
                )
                is ReservationDecision.BeforeTenure -> refusedUnknown(
                    RefusalCode.KEY_BEFORE_TENURE,
                    "another VM may have run the key",
                )
                is ReservationDecision.Expired -> refusedUnknown(
                    RefusalCode.KEY_BEFORE_TENURE,
                    "the key is older than the retention",
                )
                is ReservationDecision.FromFuture -> refusedNotRun(
                    RefusalCode.BAD_KEY,
                    "the key was minted in the future",
                )
                is ReservationDecision.BadKey -> refusedNotRun(RefusalCode.BAD_KEY, decision.reason)
            }
        ctx.links.send(from, Message.ReserveRefused(message.request, refusal))
    }

    private fun execute(from: VmId, message: Message.ReserveStart) {
        val replicas = ctx.manifests.current?.service(message.service)?.replicas.orEmpty()
        running++
        tryReplicas(from, message, RoundRobin.order(replicas, nextTurn++))
    }

    /** Tries the next replica only if it is certain that the previous one did not run the call. */
    private fun tryReplicas(from: VmId, message: Message.ReserveStart, replicas: List<ReplicaEntry>) {
        val replica = replicas.firstOrNull()
        if (replica == null) {
            reservations.notRun(message.key)
            val refusal = refusedNotRun(RefusalCode.NO_BACKEND_SERVER, "no active replica took the call")
            return refuse(from, message, refusal)
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

                    is Outcome.NotRun -> tryReplicas(from, message, replicas.drop(1))

                    is Outcome.Unknown -> {
                        reservations.outcomeUnknown(message.key)
                        refuse(from, message, outcome.refusal)
                    }
                }
            }
    }

    private fun replyStored(from: VmId, message: Message.ReserveStart, answer: StoredAnswer) {
        when (answer) {
            is StoredAnswer.Completed -> reply(from, message, answer)

            is StoredAnswer.Unknown -> {
                val refusal = refusedUnknown(RefusalCode.REPEATED_KEY, "the key may have run; its answer was lost")
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

    private fun refusedNotRun(code: RefusalCode, detail: String) =
        Refusal(code, Step.RESERVE, ctx.self.value, Certainty.NOT_RUN, detail)

    private fun refusedUnknown(code: RefusalCode, detail: String) =
        Refusal(code, Step.RESERVE, ctx.self.value, Certainty.UNKNOWN, detail)
}
