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

/** Tells a call that it is lost. */
internal typealias LoseCall = (EntryCall, Refusal) -> Unit

/** Chooses the engine and the VM for each attempt of a request, and what to do when one fails. Used on the loop. */
internal class EntryRouter(
    private val ctx: EntryContext,
    private val placement: Placement,
    private val retries: RetryBudget,
) {
    private val stopping = HashSet<VmId>()

    /** [vm] takes no new work any more, or is back. */
    fun setStopping(vm: VmId, isStopping: Boolean) {
        if (isStopping) stopping += vm else stopping -= vm
    }

    /** Sends [call] to the owner of the best engine, or to its standby. */
    fun place(call: EntryCall, lose: LoseCall) {
        if (call.done) return
        call.newAttempt()
        if (call.attempts == 1) retries.recordRequest()
        val engines = ctx.manifests.current?.activeEngines(call.binding.adapter.adapter).orEmpty()
        val request = request(call)
        val sent = placement.rank(request, engines, ctx.loop.now()).any { server -> trySend(call, server) }
        if (!sent) waitAndPlace(call, lose)
    }

    /** Decides what a refusal of an attempt means. */
    fun refused(call: EntryCall, refusal: Refusal, lose: LoseCall) {
        val server = call.server
        val owner = call.owner
        if (call.next > 0 || !mayRetry(call, refusal)) return lose(call, refusal)
        if (server != null && owner != null) call.avoided += server to owner
        ctx.metrics.recordRetry(refusal.code.label)
        place(call, lose)
    }

    /** Asks [vm] for the rest of the answer. */
    fun resume(call: EntryCall, vm: VmId) {
        val server = call.server ?: return
        call.owner = vm
        ctx.links.send(vm, Message.GenerateResume(call.attempt, server, call.binding.adapter, call.next, budget(call)))
    }

    /** [gone] is unreachable: the next VM in the ranking takes the stream up from the engine. */
    fun resumeElsewhere(call: EntryCall, gone: VmId, lose: LoseCall) {
        val server = call.server ?: return
        call.mayHaveRun = true
        val next = ranking(server).firstOrNull { it != gone && ctx.links.isUp(it) }
        Logger.info("event=owner_lost step=stream peer={} request={} next={}", gone, call.attempt, next)
        if (next != null) return resume(call, next)
        val refusal = unreachable(gone, Certainty.UNKNOWN)
        if (call.next == 0) place(call, lose) else lose(call, refusal)
    }

    /** Frees what the request holds at its owner and on the engine. */
    fun cancel(call: EntryCall) {
        call.owner?.let { ctx.links.send(it, Message.GenerateCancel(call.attempt)) }
    }

    private fun trySend(call: EntryCall, server: BackendServerId): Boolean {
        val vm = ranking(server).firstOrNull { mayAsk(call, server, it) } ?: return false
        val start =
            Message.GenerateStart(
                request = call.attempt,
                server = server,
                adapter = call.binding.adapter,
                revision = call.binding.revision,
                workClass = call.spec.workClass,
                customer = call.spec.customer,
                prompt = call.spec.prompt,
                maxTokens = call.spec.maxTokens,
                budgetMillis = budget(call),
                traceparent = ctx.traces.traceparent(call.span),
            )
        if (ctx.links.send(vm, start) != SendResult.QUEUED) return false
        call.server = server
        call.owner = vm
        placement.recordSent(call.binding.adapter, server, ctx.loop.now())
        return true
    }

    private fun mayAsk(call: EntryCall, server: BackendServerId, vm: VmId): Boolean =
        vm !in stopping && (server to vm) !in call.avoided && ctx.links.isUp(vm)

    private fun waitAndPlace(call: EntryCall, lose: LoseCall) {
        val refusal = call.lastRefusal ?: nowhere(call)
        val waited = ctx.loop.now() - call.admittedAt
        if (waited > PLACE_PATIENCE_NANOS) return lose(call, refusal)
        call.avoided.clear()
        call.timers += ctx.loop.after(PLACE_PAUSE_MILLIS, "place_again") { place(call, lose) }
    }

    private fun mayRetry(call: EntryCall, refusal: Refusal): Boolean {
        val proved = refusal.certainty == Certainty.NOT_RUN
        return when (refusal.code) {
            RefusalCode.NOT_READY,
            RefusalCode.NO_BACKEND_SERVER,
            RefusalCode.STOPPING,
            RefusalCode.PEER_UNREACHABLE,
            -> proved

            RefusalCode.BACKEND_SERVER_FAILED -> {
                call.attempts <= ctx.settings.limits.retriesPerRequest && (proved || retries.tryAcquire())
            }

            else -> false
        }
    }

    private fun request(call: EntryCall) = PlacementRequest(
        adapter = call.binding.adapter,
        workClass = call.spec.workClass,
        maxTokens = call.spec.maxTokens,
        prefixHash = PromptPrefix.hash(call.spec.prompt),
    )

    private fun ranking(server: BackendServerId): List<VmId> =
        OwnershipRanking.rank(server, ctx.membership.list.vms).take(USERS_PER_ENGINE)

    private fun budget(call: EntryCall): Long =
        (call.spec.deadlineMillis - (ctx.loop.now() - call.admittedAt) / NANOS_PER_MILLI).coerceAtLeast(0)

    private fun nowhere(call: EntryCall): Refusal {
        val engines: List<EngineEntry> = ctx.manifests.current?.activeEngines(call.binding.adapter.adapter).orEmpty()
        val detail = if (engines.isEmpty()) "no active engine has the model" else "no VM that serves one is reachable"
        return Refusal(RefusalCode.NO_BACKEND_SERVER, Step.ROUTE, ctx.self.value, Certainty.NOT_RUN, detail)
    }

    private fun unreachable(vm: VmId, certainty: Certainty) =
        Refusal(RefusalCode.PEER_UNREACHABLE, Step.FORWARD, vm.value, certainty, "the link to the owner is down")

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val PLACE_PAUSE_MILLIS = 100L
        const val PLACE_PATIENCE_NANOS = 8_000_000_000L
        const val USERS_PER_ENGINE = 2
    }
}
