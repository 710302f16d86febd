package io.apricotslip.core.entry

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.operators.RunningRequest
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.outcome.Step
import io.apricotslip.rules.limits.AdmissionLimits
import io.apricotslip.wire.Message
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Flux
import reactor.core.publisher.Sinks

/** The requests that callers sent to this VM. Confined to the node loop, except for [open]. */
internal class EntryCalls(
    private val ctx: EntryContext,
    private val limits: AdmissionLimits,
    private val router: EntryRouter,
) {
    private val calls = HashMap<RequestId, EntryCall>()
    private val creditIntervalTokens = (ctx.settings.peers.streamWindowTokens / CREDITS_PER_WINDOW).coerceAtLeast(1)

    /** Number of requests in progress. */
    val size: Int get() = calls.size

    /** Set when this node shuts down; new requests are refused from then on. */
    var stopping: Boolean = false

    /** Starts a request. Safe to call from any thread; cancelling the subscription cancels the request. */
    fun open(spec: CallSpec): Flux<CallEvent> = Flux.defer {
        val sink = Sinks.many().unicast().onBackpressureBuffer<CallEvent>()
        ctx.loop.run("admit") { admit(spec, sink) }
        sink
            .asFlux()
            .doOnNext { if (it is CallEvent.Token) onTokenDelivered(spec.request, it.offset + 1) }
            .doOnCancel { ctx.loop.run("cancel") { onCancelled(spec.request) } }
    }

    /** Reports to the owner, every [creditIntervalTokens] tokens, how far the caller has read. */
    private fun onTokenDelivered(request: RequestId, upTo: Int) {
        if (upTo % creditIntervalTokens == 0) ctx.loop.run("credit") { sendCredit(request, upTo) }
    }

    /** Lists the requests in progress. */
    fun running(): List<RunningRequest> = calls.values.map {
        RunningRequest(
            request = it.spec.request,
            adapter = it.binding.adapter,
            server = it.server,
            workClass = it.spec.workClass,
            customer = it.spec.customer,
            step = (if (it.nextOffset > 0) Step.STREAM else Step.QUEUE).label,
            tokens = it.nextOffset,
            ageMillis = (ctx.loop.now() - it.admittedAt) / NANOS_PER_MILLI,
        )
    }

    /** Handles a message from an owner; returns whether it was addressed to the entry role. */
    fun receive(from: VmId, message: Message): Boolean {
        when (message) {
            is Message.GenerateChunk -> findByAttempt(message.request, from)?.let { onChunk(it, message) }
            is Message.GenerateEnd -> findByAttempt(message.request, from)?.let { onEnd(it, message) }
            is Message.GenerateRefused -> findByAttempt(message.request, from)?.let { onRefused(it, message.refusal) }
            else -> return false
        }
        return true
    }

    /** Resumes the streams that [vm] owns once its link is up. */
    fun onPeerUp(vm: VmId): Unit = callsOwnedBy(vm).forEach { router.resume(it, vm) }

    /**
     * Resumes the streams of [vm] on another VM if its link is still down after [RECONNECT_GRACE_MILLIS] milliseconds.
     */
    fun onPeerDown(vm: VmId): Unit = callsOwnedBy(vm).forEach { call ->
        val attemptId = call.attemptId
        call.timers +=
            ctx.loop.after(RECONNECT_GRACE_MILLIS, "resume_elsewhere") {
                val unchanged = !call.closed && call.attemptId == attemptId && call.owner == vm
                if (unchanged && !ctx.links.isUp(vm)) router.resumeElsewhere(call, vm, ::onFailed)
            }
    }

    private fun callsOwnedBy(vm: VmId): List<EntryCall> = calls.values.filter { it.owner == vm }

    private fun findByAttempt(attemptId: RequestId, from: VmId): EntryCall? {
        val firstId = attemptId.value.substringBeforeLast(ATTEMPT_SEPARATOR, attemptId.value)
        val call = calls[attemptId] ?: calls[RequestId(firstId)] ?: return null
        return call.takeIf { it.attemptId == attemptId && it.owner == from }
    }

    private fun admit(spec: CallSpec, sink: Sinks.Many<CallEvent>) {
        val binding = ctx.manifests.current?.let { m -> m.resolve(spec.model)?.let { Binding(it, m.revision) } }
        val code = admissionRefusal(spec, binding)
        if (code != null || binding == null) {
            return refuseAdmission(sink, code ?: RefusalCode.NOT_READY, spec)
        }
        val span = ctx.traces.startSpan("entry", SpanKind.SERVER, spec.traceparent)
        span.setAttribute("request", spec.request.value).setAttribute("adapter", binding.adapter.toString())
        val call = EntryCall(spec, binding, ctx.loop.now(), span, sink)
        calls[spec.request] = call
        ctx.metrics.recordAdmission(spec.workClass)
        record(call, EventKind.INVOKE)
        call.sink.tryEmitNext(CallEvent.Admitted(binding))
        call.timers += ctx.loop.after(spec.deadlineMillis + DEADLINE_GRACE_MILLIS, "deadline") { onDeadline(call) }
        router.dispatch(call, ::onFailed)
    }

    private fun admissionRefusal(spec: CallSpec, binding: Binding?): RefusalCode? = when {
        stopping -> RefusalCode.STOPPING
        ctx.manifests.current == null || !ctx.ready() -> RefusalCode.NOT_READY
        binding == null -> RefusalCode.UNKNOWN_ADAPTER
        spec.request in calls -> RefusalCode.BAD_REQUEST
        else -> limits.tryAdmit(spec.customer, spec.workClass, ctx.loop.now())
    }

    private fun refuseAdmission(sink: Sinks.Many<CallEvent>, code: RefusalCode, spec: CallSpec) {
        val refusal = Refusal(code, Step.ADMIT, ctx.self.value, Certainty.NOT_RUN, "not admitted: ${spec.model}")
        ctx.metrics.recordRefusal(refusal)
        ctx.history.record(EventKind.REFUSED) {
            copy(request = spec.request.value, certainty = refusal.certainty.label, detail = code.label)
        }
        sink.tryEmitNext(CallEvent.Refused(refusal))
        sink.tryEmitComplete()
    }

    private fun onChunk(call: EntryCall, message: Message.GenerateChunk) {
        if (message.offset > call.nextOffset) return router.resume(call, checkNotNull(call.owner))
        if (call.nextOffset == 0) ctx.metrics.recordFirstToken(call.spec.workClass, ctx.loop.now() - call.admittedAt)
        message.tokens.drop(call.nextOffset - message.offset).forEach { text ->
            call.sink.tryEmitNext(CallEvent.Token(call.nextOffset, text))
            call.nextOffset++
        }
    }

    private fun onEnd(call: EntryCall, message: Message.GenerateEnd) {
        if (message.adapter != call.binding.adapter) return fail(call, wrongAdapter(message))
        if (message.total > call.nextOffset) return router.resume(call, checkNotNull(call.owner))
        ctx.links.send(checkNotNull(call.owner), Message.GenerateCredit(call.attemptId, message.total))
        ctx.metrics.recordCompletion(call.spec.workClass, message.total)
        record(call, EventKind.COMPLETE)
        call.sink.tryEmitNext(CallEvent.End(message.total, message.finish, message.server))
        close(call)
    }

    private fun onRefused(call: EntryCall, refusal: Refusal) {
        call.lastRefusal = refusal
        if (refusal.certainty == Certainty.UNKNOWN) call.mayHaveRun = true
        router.onAttemptRefused(call, refusal, ::onFailed)
    }

    private fun onFailed(call: EntryCall, refusal: Refusal): Unit = fail(call, refusal)

    private fun fail(call: EntryCall, refusal: Refusal) {
        val certainty = if (call.mayHaveRun || call.nextOffset > 0) Certainty.UNKNOWN else refusal.certainty
        val reported = refusal.copy(certainty = certainty)
        ctx.metrics.recordRefusal(reported)
        ctx.history.record(EventKind.REFUSED) {
            copy(request = call.spec.request.value, certainty = certainty.label, detail = reported.code.label)
        }
        Logger.info(
            "event=request_refused request={} code={} step={} peer={} outcome={}",
            call.spec.request,
            reported.code.label,
            reported.step.label,
            reported.peer,
            certainty.label,
        )
        call.span.setStatus(StatusCode.ERROR, reported.code.label)
        call.sink.tryEmitNext(CallEvent.Refused(reported))
        close(call)
    }

    private fun onDeadline(call: EntryCall) {
        if (call.closed) return
        call.mayHaveRun = call.mayHaveRun || call.owner != null
        router.cancel(call)
        val detail = "the deadline of ${call.spec.deadlineMillis} ms passed"
        val peer = (call.server?.value ?: ctx.self.value)
        fail(call, Refusal(RefusalCode.DEADLINE, Step.STREAM, peer, Certainty.NOT_RUN, detail))
    }

    private fun onCancelled(request: RequestId) {
        val call = calls[request] ?: return
        if (call.closed) return
        router.cancel(call)
        ctx.metrics.recordRefusal(
            Refusal(
                RefusalCode.CANCELLED,
                Step.STREAM,
                call.spec.customer.value,
                Certainty.UNKNOWN,
                "the caller went away",
            ),
        )
        close(call)
    }

    private fun sendCredit(request: RequestId, upTo: Int) {
        val call = calls[request] ?: return
        val owner = call.owner ?: return
        ctx.links.send(owner, Message.GenerateCredit(call.attemptId, upTo))
    }

    private fun close(call: EntryCall) {
        call.closed = true
        call.timers.forEach { it.dispose() }
        call.span.end()
        calls.remove(call.spec.request)
        limits.release(call.spec.customer, call.spec.workClass)
        call.sink.tryEmitComplete()
    }

    private fun wrongAdapter(message: Message.GenerateEnd) = Refusal(
        code = RefusalCode.WRONG_ADAPTER,
        step = Step.STREAM,
        peer = message.server.value,
        certainty = Certainty.UNKNOWN,
        detail = "the engine answered with ${message.adapter}",
    )

    private fun record(call: EntryCall, kind: EventKind): Unit = ctx.history.record(kind) {
        copy(
            request = call.spec.request.value,
            server = call.server?.value,
            adapter = call.binding.adapter.adapter.value,
            version = call.binding.adapter.version.value,
            revision = call.binding.revision.value,
        )
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val DEADLINE_GRACE_MILLIS = 100L
        const val RECONNECT_GRACE_MILLIS = 600L
        const val CREDITS_PER_WINDOW = 4
        const val ATTEMPT_SEPARATOR = '.'
    }
}
