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

/**
 * Calls that are safe to repeat: tried on one replica after another within the retry budget. Confined to the node loop.
 */
internal class IdempotentCalls(
    private val ctx: EntryContext,
    private val client: ServiceClient,
    private val retries: RetryBudget,
) {
    private var nextTurn = 0

    /** Executes [request] on a replica of its service. */
    fun call(request: ServiceRequest): Mono<ServiceReply> {
        val replicas = RoundRobin.order(ctx.manifests.current?.service(request.service)?.replicas.orEmpty(), nextTurn++)
        retries.recordRequest()
        return tryReplicas(request, replicas, NO_REPLICA)
    }

    private fun tryReplicas(
        request: ServiceRequest,
        replicas: List<ReplicaEntry>,
        lastRefusal: Refusal,
    ): Mono<ServiceReply> {
        val replica = replicas.firstOrNull() ?: return Mono.just(ServiceReply.Refused(lastRefusal))
        return client.call(replica, toCall(request)).publishOn(ctx.loop.scheduler).flatMap { outcome ->
            when (outcome) {
                is Outcome.Completed -> Mono.just(answered(outcome.value, replica))
                is Outcome.NotRun -> retry(request, replicas, outcome.refusal)
                is Outcome.Unknown -> retry(request, replicas, outcome.refusal)
            }
        }
    }

    private fun retry(request: ServiceRequest, replicas: List<ReplicaEntry>, refusal: Refusal): Mono<ServiceReply> {
        if (!retries.tryAcquire()) return Mono.just(ServiceReply.Refused(refusal))
        return tryReplicas(request, replicas.drop(1), refusal)
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

/** Round-robin selection among the active replicas of a service. */
internal object RoundRobin {
    fun order(replicas: List<ReplicaEntry>, turn: Int): List<ReplicaEntry> {
        val active = replicas.filter { it.state == ServerState.ACTIVE }
        if (active.isEmpty()) return active
        val first = Math.floorMod(turn, active.size)
        return active.drop(first) + active.take(first)
    }
}
