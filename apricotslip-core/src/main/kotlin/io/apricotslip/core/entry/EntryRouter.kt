package io.apricotslip.core.entry

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.outcome.Step
import io.apricotslip.core.prompt.PromptPrefix
import io.apricotslip.rules.limits.RetryBudget
import io.apricotslip.rules.placement.Placement
import io.apricotslip.rules.placement.PlacementRequest
import io.apricotslip.safety.OwnershipRanking
import io.apricotslip.wire.Message
import io.apricotslip.wire.SendResult
import org.tinylog.kotlin.Logger

/** Fails a call with a refusal, which is reported to its caller. */
internal typealias FailCall = (EntryCall, Refusal) -> Unit

/**
 * Selects the engine and the VM for each attempt of a request, and decides on retries. Confined to the node loop.
 */
internal class EntryRouter(
    private val ctx: EntryContext,
    private val placement: Placement,
    private val retries: RetryBudget,
) {
    private val stoppingVms = HashSet<VmId>()

    /** Records whether [vm] is shutting down. New attempts are not sent to a VM that is. */
    fun setStopping(vm: VmId, isStopping: Boolean) {
        if (isStopping) stoppingVms += vm else stoppingVms -= vm
    }

    /** Sends a new attempt of [call] to the owner of the best engine, or to its standby. */
    fun dispatch(call: EntryCall, fail: FailCall) {
        if (call.closed) return
        call.newAttempt()
        if (call.attemptCount == 1) retries.recordRequest()
        val engines = ctx.manifests.current?.activeEngines(call.binding.adapter.adapter).orEmpty()
        val request = placementRequest(call)
        val wasSent = placement.rank(request, engines, ctx.loop.now()).any { server -> trySend(call, server) }
        if (!wasSent) dispatchAfterDelay(call, fail)
    }

    /** Retries [call] after an attempt was refused, or fails it when a retry is not allowed. */
    fun onAttemptRefused(call: EntryCall, refusal: Refusal, fail: FailCall) {
        val server = call.server
        val owner = call.owner
        if (call.nextOffset > 0 || !mayRetry(call, refusal)) return fail(call, refusal)
        if (server != null && owner != null) call.excluded += server to owner
        ctx.metrics.recordRetry(refusal.code.label)
        dispatch(call, fail)
    }

    /** Requests the rest of the answer from [vm]. */
    fun resume(call: EntryCall, vm: VmId) {
        val server = call.server ?: return
        call.owner = vm
        ctx.links.send(
            vm,
            Message.GenerateResume(
                call.attemptId,
                server,
                call.binding.adapter,
                call.nextOffset,
                remainingMillis(call),
            ),
        )
    }

    /** Resumes the stream on the next VM in the ranking, because [lostOwner] is unreachable. */
    fun resumeElsewhere(call: EntryCall, lostOwner: VmId, fail: FailCall) {
        val server = call.server ?: return
        call.mayHaveRun = true
        val nextVm = rankedVms(server).firstOrNull { it != lostOwner && ctx.links.isUp(it) }
        Logger.info("event=owner_lost step=stream peer={} request={} next={}", lostOwner, call.attemptId, nextVm)
        if (nextVm != null) return resume(call, nextVm)
        val refusal = unreachable(lostOwner, Certainty.UNKNOWN)
        if (call.nextOffset == 0) dispatch(call, fail) else fail(call, refusal)
    }

    /** Releases the resources of the request at its owner and on the engine. */
    fun cancel(call: EntryCall) {
        call.owner?.let { ctx.links.send(it, Message.GenerateCancel(call.attemptId)) }
    }

    private fun trySend(call: EntryCall, server: BackendServerId): Boolean {
        val vm = rankedVms(server).firstOrNull { canSend(call, server, it) } ?: return false
        val start =
            Message.GenerateStart(
                request = call.attemptId,
                server = server,
                adapter = call.binding.adapter,
                revision = call.binding.revision,
                workClass = call.spec.workClass,
                customer = call.spec.customer,
                prompt = call.spec.prompt,
                maxTokens = call.spec.maxTokens,
                budgetMillis = remainingMillis(call),
                traceparent = ctx.traces.traceparent(call.span),
            )
        if (ctx.links.send(vm, start) != SendResult.QUEUED) return false
        call.server = server
        call.owner = vm
        placement.recordSent(call.binding.adapter, server, ctx.loop.now())
        return true
    }

    private fun canSend(call: EntryCall, server: BackendServerId, vm: VmId): Boolean =
        vm !in stoppingVms && (server to vm) !in call.excluded && ctx.links.isUp(vm)

    private fun dispatchAfterDelay(call: EntryCall, fail: FailCall) {
        val refusal = call.lastRefusal ?: noBackendServer(call)
        val waitedNanos = ctx.loop.now() - call.admittedAt
        if (waitedNanos > MAX_DISPATCH_WAIT_NANOS) return fail(call, refusal)
        call.excluded.clear()
        call.timers += ctx.loop.after(DISPATCH_RETRY_DELAY_MILLIS, "place_again") { dispatch(call, fail) }
    }

    private fun mayRetry(call: EntryCall, refusal: Refusal): Boolean {
        val provedNotRun = refusal.certainty == Certainty.NOT_RUN
        return when (refusal.code) {
            RefusalCode.NOT_READY,
            RefusalCode.NO_BACKEND_SERVER,
            RefusalCode.STOPPING,
            RefusalCode.PEER_UNREACHABLE,
            -> provedNotRun

            RefusalCode.BACKEND_SERVER_FAILED -> {
                call.attemptCount <= ctx.settings.limits.retriesPerRequest && (provedNotRun || retries.tryAcquire())
            }

            else -> false
        }
    }

    private fun placementRequest(call: EntryCall) = PlacementRequest(
        adapter = call.binding.adapter,
        workClass = call.spec.workClass,
        maxTokens = call.spec.maxTokens,
        prefixHash = PromptPrefix.hash(call.spec.prompt),
    )

    private fun rankedVms(server: BackendServerId): List<VmId> =
        OwnershipRanking.rank(server, ctx.membership.list.vms).take(VMS_PER_ENGINE)

    private fun remainingMillis(call: EntryCall): Long =
        (call.spec.deadlineMillis - (ctx.loop.now() - call.admittedAt) / NANOS_PER_MILLI).coerceAtLeast(0)

    private fun noBackendServer(call: EntryCall): Refusal {
        val engines: List<EngineEntry> = ctx.manifests.current?.activeEngines(call.binding.adapter.adapter).orEmpty()
        val detail = if (engines.isEmpty()) "no active engine has the model" else "no VM that serves one is reachable"
        return Refusal(RefusalCode.NO_BACKEND_SERVER, Step.ROUTE, ctx.self.value, Certainty.NOT_RUN, detail)
    }

    private fun unreachable(vm: VmId, certainty: Certainty) =
        Refusal(RefusalCode.PEER_UNREACHABLE, Step.FORWARD, vm.value, certainty, "the link to the owner is down")

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val DISPATCH_RETRY_DELAY_MILLIS = 100L
        const val MAX_DISPATCH_WAIT_NANOS = 8_000_000_000L

        /** The owner of an engine and its standby. */
        const val VMS_PER_ENGINE = 2
    }
}
