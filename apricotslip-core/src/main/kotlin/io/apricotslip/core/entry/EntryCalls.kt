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

/** The requests that callers sent to this VM. Used on the loop, but for [open]. */
internal class EntryCalls(
    private val ctx: EntryContext,
    private val limits: AdmissionLimits,
    private val router: EntryRouter,
) {
    private val calls = HashMap<RequestId, EntryCall>()
    private val creditStep = (ctx.settings.peers.streamWindowTokens / CREDITS_PER_WINDOW).coerceAtLeast(1)

    /** Requests under way. */
    val size: Int get() = calls.size

    /** Set when this node stops: no request is admitted any more. */
    var stopping: Boolean = false

    /** Runs a request. Callable from any thread; cancelling the subscription cancels the request. */
    fun open(spec: CallSpec): Flux<CallEvent> = Flux.defer {
        val sink = Sinks.many().unicast().onBackpressureBuffer<CallEvent>()
        ctx.loop.run("admit") { admit(spec, sink) }
        sink
            .asFlux()
            .doOnNext { if (it is CallEvent.Token) taken(spec.request, it.offset + 1) }
            .doOnCancel { ctx.loop.run("cancel") { cancelled(spec.request) } }
    }

    /** Tells the owner now and then how far the caller has read. */
    private fun taken(request: RequestId, upTo: Int) {
        if (upTo % creditStep == 0) ctx.loop.run("credit") { consumed(request, upTo) }
    }

    /** What callers are being served. */
    fun running(): List<RunningRequest> = calls.values.map {
        RunningRequest(
            request = it.spec.request,
            adapter = it.binding.adapter,
            server = it.server,
            workClass = it.spec.workClass,
            customer = it.spec.customer,
            step = (if (it.next > 0) Step.STREAM else Step.QUEUE).label,
            tokens = it.next,
            ageMillis = (ctx.loop.now() - it.admittedAt) / NANOS_PER_MILLI,
        )
    }

    /** Handles a message of an owner; returns whether it was one for entry VMs. */
    fun receive(from: VmId, message: Message): Boolean {
        when (message) {
            is Message.GenerateChunk -> byAttempt(message.request, from)?.let { chunk(it, message) }
            is Message.GenerateEnd -> byAttempt(message.request, from)?.let { end(it, message) }
            is Message.GenerateRefused -> byAttempt(message.request, from)?.let { refused(it, message.refusal) }
            else -> return false
        }
        return true
    }

    /** A link to [vm] came up: asks for the rest of the answers. */
    fun onPeerUp(vm: VmId): Unit = ofOwner(vm).forEach { router.resume(it, vm) }

    /** A link to [vm] went down: another VM takes the answers up unless it is back soon. */
    fun onPeerDown(vm: VmId): Unit = ofOwner(vm).forEach { call ->
        val attempt = call.attempt
        call.timers +=
            ctx.loop.after(LINK_PATIENCE_MILLIS, "resume_elsewhere") {
                val same = !call.done && call.attempt == attempt && call.owner == vm
                if (same && !ctx.links.isUp(vm)) router.resumeElsewhere(call, vm, ::lost)
            }
    }

    private fun ofOwner(vm: VmId): List<EntryCall> = calls.values.filter { it.owner == vm }

    private fun byAttempt(attempt: RequestId, from: VmId): EntryCall? {
        val name = attempt.value.substringBeforeLast(ATTEMPT_SEPARATOR, attempt.value)
        val call = calls[attempt] ?: calls[RequestId(name)] ?: return null
        return call.takeIf { it.attempt == attempt && it.owner == from }
    }

    private fun admit(spec: CallSpec, sink: Sinks.Many<CallEvent>) {
        val binding = ctx.manifests.current?.let { m -> m.resolve(spec.model)?.let { Binding(it, m.revision) } }
        val code = refusalAtAdmission(spec, binding)
        if (code != null || binding == null) {
            return refuseAtOnce(sink, code ?: RefusalCode.NOT_READY, spec)
        }
        val span = ctx.traces.startSpan("entry", SpanKind.SERVER, spec.traceparent)
        span.setAttribute("request", spec.request.value).setAttribute("adapter", binding.adapter.toString())
        val call = EntryCall(spec, binding, ctx.loop.now(), span, sink)
        calls[spec.request] = call
        ctx.metrics.recordAdmission(spec.workClass)
        record(call, EventKind.INVOKE)
        call.sink.tryEmitNext(CallEvent.Admitted(binding))
        call.timers += ctx.loop.after(spec.deadlineMillis + DEADLINE_GRACE_MILLIS, "deadline") { pastDeadline(call) }
        router.place(call, ::lost)
    }

    private fun refusalAtAdmission(spec: CallSpec, binding: Binding?): RefusalCode? = when {
        stopping -> RefusalCode.STOPPING
        ctx.manifests.current == null || !ctx.ready() -> RefusalCode.NOT_READY
        binding == null -> RefusalCode.UNKNOWN_ADAPTER
        spec.request in calls -> RefusalCode.BAD_REQUEST
        else -> limits.tryAdmit(spec.customer, spec.workClass, ctx.loop.now())
    }

    private fun refuseAtOnce(sink: Sinks.Many<CallEvent>, code: RefusalCode, spec: CallSpec) {
        val refusal = Refusal(code, Step.ADMIT, ctx.self.value, Certainty.NOT_RUN, "not admitted: ${spec.model}")
        ctx.metrics.recordRefusal(refusal)
        ctx.history.record(EventKind.REFUSED) {
            copy(request = spec.request.value, certainty = refusal.certainty.label, detail = code.label)
        }
        sink.tryEmitNext(CallEvent.Refused(refusal))
        sink.tryEmitComplete()
    }

    private fun chunk(call: EntryCall, message: Message.GenerateChunk) {
        if (message.offset > call.next) return router.resume(call, checkNotNull(call.owner))
        if (call.next == 0) ctx.metrics.recordFirstToken(call.spec.workClass, ctx.loop.now() - call.admittedAt)
        message.tokens.drop(call.next - message.offset).forEach { text ->
            call.sink.tryEmitNext(CallEvent.Token(call.next, text))
            call.next++
        }
    }

    private fun end(call: EntryCall, message: Message.GenerateEnd) {
        if (message.adapter != call.binding.adapter) return lose(call, wrongAdapter(message))
        if (message.total > call.next) return router.resume(call, checkNotNull(call.owner))
        ctx.links.send(checkNotNull(call.owner), Message.GenerateCredit(call.attempt, message.total))
        ctx.metrics.recordCompletion(call.spec.workClass, message.total)
        record(call, EventKind.COMPLETE)
        call.sink.tryEmitNext(CallEvent.End(message.total, message.finish, message.server))
        close(call)
    }

    private fun refused(call: EntryCall, refusal: Refusal) {
        call.lastRefusal = refusal
        if (refusal.certainty == Certainty.UNKNOWN) call.mayHaveRun = true
        router.refused(call, refusal, ::lost)
    }

    private fun lost(call: EntryCall, refusal: Refusal): Unit = lose(call, refusal)

    private fun lose(call: EntryCall, refusal: Refusal) {
        val certainty = if (call.mayHaveRun || call.next > 0) Certainty.UNKNOWN else refusal.certainty
        val told = refusal.copy(certainty = certainty)
        ctx.metrics.recordRefusal(told)
        ctx.history.record(EventKind.REFUSED) {
            copy(request = call.spec.request.value, certainty = certainty.label, detail = told.code.label)
        }
        Logger.info(
            "event=request_refused request={} code={} step={} peer={} outcome={}",
            call.spec.request,
            told.code.label,
            told.step.label,
            told.peer,
            certainty.label,
        )
        call.span.setStatus(StatusCode.ERROR, told.code.label)
        call.sink.tryEmitNext(CallEvent.Refused(told))
        close(call)
    }

    private fun pastDeadline(call: EntryCall) {
        if (call.done) return
        call.mayHaveRun = call.mayHaveRun || call.owner != null
        router.cancel(call)
        val detail = "the deadline of ${call.spec.deadlineMillis} ms passed"
        val peer = (call.server?.value ?: ctx.self.value)
        lose(call, Refusal(RefusalCode.DEADLINE, Step.STREAM, peer, Certainty.NOT_RUN, detail))
    }

    private fun cancelled(request: RequestId) {
        val call = calls[request] ?: return
        if (call.done) return
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

    private fun consumed(request: RequestId, upTo: Int) {
        val call = calls[request] ?: return
        val owner = call.owner ?: return
        ctx.links.send(owner, Message.GenerateCredit(call.attempt, upTo))
    }

    private fun close(call: EntryCall) {
        call.done = true
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
        const val LINK_PATIENCE_MILLIS = 600L
        const val CREDITS_PER_WINDOW = 4
        const val ATTEMPT_SEPARATOR = '.'
    }
}
