package io.apricotslip.core.service

import io.apricotslip.api.manifest.ReplicaEntry
import io.apricotslip.api.manifest.ServerState
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.api.outcome.Outcome
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.outcome.Step
import io.apricotslip.backends.service.ServiceAnswer
import io.apricotslip.backends.service.ServiceCall
import io.apricotslip.backends.service.ServiceClient
import io.apricotslip.core.entry.EntryContext
import io.apricotslip.rules.limits.RetryBudget
import reactor.core.publisher.Mono

/** Calls that may be repeated: tried on one replica after another within the retry budget. Called on the loop. */
internal class IdempotentCalls(
    private val ctx: EntryContext,
    private val client: ServiceClient,
    private val retries: RetryBudget,
) {
    private var turn = 0

    /** Runs [request] on a replica of its service. */
    fun call(request: ServiceRequest): Mono<ServiceReply> {
        val replicas = ReplicaTurn.order(ctx.manifests.current?.service(request.service)?.replicas.orEmpty(), turn++)
        retries.recordRequest()
        return attempt(request, replicas, NO_REPLICA)
    }

    private fun attempt(request: ServiceRequest, replicas: List<ReplicaEntry>, last: Refusal): Mono<ServiceReply> {
        val replica = replicas.firstOrNull() ?: return Mono.just(ServiceReply.Refused(last))
        return client.call(replica, toCall(request)).publishOn(ctx.loop.scheduler).flatMap { outcome ->
            when (outcome) {
                is Outcome.Completed -> Mono.just(answered(outcome.value, replica))
                is Outcome.NotRun -> again(request, replicas, outcome.refusal)
                is Outcome.Unknown -> again(request, replicas, outcome.refusal)
            }
        }
    }

    private fun again(request: ServiceRequest, replicas: List<ReplicaEntry>, refusal: Refusal): Mono<ServiceReply> {
        if (!retries.tryAcquire()) return Mono.just(ServiceReply.Refused(refusal))
        return attempt(request, replicas.drop(1), refusal)
    }

    private fun answered(answer: ServiceAnswer, replica: ReplicaEntry): ServiceReply =
        ServiceReply.Answered(answer.status, answer.contentType, answer.body, replica.id)

    private fun toCall(request: ServiceRequest) = ServiceCall(
        method = request.method,
        path = request.path,
        contentType = request.contentType,
        body = request.body,
        idempotencyKey = null,
        traceparent = request.traceparent,
    )

    private companion object {
        val NO_REPLICA =
            Refusal(RefusalCode.NO_BACKEND_SERVER, Step.ROUTE, "service", Certainty.NOT_RUN, "no active replica")
    }
}

/** Round robin over the active replicas of a service. */
internal object ReplicaTurn {
    fun order(replicas: List<ReplicaEntry>, turn: Int): List<ReplicaEntry> {
        val active = replicas.filter { it.state == ServerState.ACTIVE }
        if (active.isEmpty()) return active
        val first = Math.floorMod(turn, active.size)
        return active.drop(first) + active.take(first)
    }
}
