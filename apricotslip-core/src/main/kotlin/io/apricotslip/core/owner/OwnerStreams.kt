package io.apricotslip.core.owner

import io.apricotslip.api.history.EventKind
import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.outcome.Step
import io.apricotslip.backends.engine.EngineClient
import io.apricotslip.backends.engine.EngineEvent
import io.apricotslip.backends.engine.EngineException
import io.apricotslip.backends.engine.EngineRequest
import io.apricotslip.core.observe.HopSpans
import io.apricotslip.wire.Message
import io.apricotslip.wire.SendResult
import org.tinylog.kotlin.Logger
import reactor.core.publisher.Flux

/** Relays the token streams of one engine to the entry VMs. Confined to the node's event loop. */
internal class OwnerStreams(
    private val ctx: OwnerContext,
    private val client: EngineClient,
    private val onEnded: (StreamEnding) -> Unit,
) {
    private val server = client.engine.id
    private val window = ctx.settings.peers.streamWindowTokens
    private val calls = LinkedHashMap<RequestId, OwnerCall>()

    val size: Int get() = calls.size

    operator fun get(request: RequestId): OwnerCall? = calls[request]

    fun add(call: OwnerCall) {
        calls[call.request] = call
    }

    /** Requests that were not sent to the engine yet. */
    fun waiting(): List<OwnerCall> = calls.values.filter { !it.started }

    /** Waiting requests whose entry VM has been disconnected for longer than `peers.resumeMillis`. */
    fun waitingOrphans(): List<OwnerCall> = waiting().filter(::isOrphaned)

    private fun isOrphaned(call: OwnerCall): Boolean {
        val since = call.orphanedAt ?: return false
        return ctx.loop.now() - since > ctx.settings.peers.resumeMillis * NANOS_PER_MILLI
    }

    /** Starts [call] on the engine. The caller must have checked the guard in the same task of the event loop. */
    fun start(call: OwnerCall, priority: Int, stallNanos: Long) {
        val startMessage = checkNotNull(call.startMessage)
        call.started = true
        call.stallNanos = stallNanos
        ctx.metrics.recordLoadStall(startMessage.workClass, call.stallNanos)
        ctx.guard.requestStarted(server, call.adapter, call.request)
        ctx.history.record(EventKind.RUN) {
            copy(
                request = call.request.value,
                server = client.engine.id.value,
                adapter = call.adapter.adapter.value,
                version = call.adapter.version.value,
                revision = startMessage.revision.value,
            )
        }
        val span = HopSpans.startEngineSpan(ctx.traces, call.span, server.value)
        val request =
            EngineRequest(
                request = call.request,
                adapter = call.adapter,
                prompt = startMessage.prompt,
                maxTokens = startMessage.maxTokens,
                priority = priority,
                traceparent = ctx.traces.traceparent(span),
            )
        subscribe(call, client.generate(request).doFinally { span.end() })
    }

    /** Resends a known stream from the requested offset to [from], or takes over that of an unresponsive owner. */
    fun resume(from: VmId, message: Message.GenerateResume) {
        val known = calls[message.request]
        if (known != null) {
            known.entryVm = from
            known.orphanedAt = null
            credit(known, message.fromOffset)
            known.rewind(message.fromOffset)
            return flush(known)
        }
        val call = OwnerCall(message.request, message.adapter, from, startMessage = null, work = null, span = null)
        call.takeOverAt(message.fromOffset)
        add(call)
        ctx.guard.requestStarted(server, call.adapter, call.request)
        Logger.info(
            "event=stream_taken_over step=stream peer={} request={} from={}",
            server,
            call.request,
            message.fromOffset,
        )
        subscribe(call, client.resume(call.request, message.fromOffset))
    }

    fun credit(request: RequestId, upTo: Int) {
        val call = calls[request] ?: return
        credit(call, upTo)
        val total = call.end?.total
        if (total != null && call.endSent && upTo >= total) calls.remove(request)
    }

    private fun credit(call: OwnerCall, upTo: Int) {
        val freed = call.credit(upTo)
        (call.stream as? EngineStream)?.requestMore(freed)
    }

    /** Stops relaying [request], and cancels it on the engine unless its stream has ended. */
    fun cancel(request: RequestId) {
        val call = calls[request] ?: return
        call.stream?.dispose()
        calls.remove(request)
        if (call.end != null) return
        client.cancel(request).subscribe({}, { logCancelFailed(call, it) })
        finish(call)
    }

    /** Removes a request that was never started. */
    fun drop(request: RequestId) {
        calls.remove(request)?.span?.end()
    }

    /** Refuses a request that was never started. */
    fun refuse(request: RequestId, refusal: Refusal) {
        val call = calls.remove(request) ?: return
        call.span?.end()
        ctx.links.send(call.entryVm, Message.GenerateRefused(request, refusal))
    }

    fun peerLinkChanged(vm: VmId, up: Boolean) {
        calls.values.filter { it.entryVm == vm }.forEach { it.orphanedAt = if (up) null else ctx.loop.now() }
    }

    /** Abandons streams that have been orphaned for too long, and retries the sends that a link did not accept. */
    fun expire() {
        calls.values.filter { it.started && isOrphaned(it) }.forEach(::abandon)
        calls.values.filter { it.sentUpTo < it.nextOffset || (it.end != null && !it.endSent) }.forEach(::flush)
    }

    /** Closes only the connection: another VM may have taken over the stream; otherwise the engine ends it itself. */
    private fun abandon(call: OwnerCall) {
        call.stream?.dispose()
        if (call.end == null) finish(call)
        calls.remove(call.request)
        Logger.info("event=stream_abandoned step=stream peer={} request={}", call.entryVm, call.request)
    }

    private fun subscribe(call: OwnerCall, events: Flux<EngineEvent>) {
        val stream = EngineStream(window, Listener(call))
        call.stream = stream
        events.publishOn(ctx.loop.scheduler, window).subscribe(stream)
    }

    private inner class Listener(private val call: OwnerCall) : EngineStreamListener {
        override fun onEvent(event: EngineEvent) {
            when (event) {
                is EngineEvent.Token -> onToken(call, event)
                is EngineEvent.End -> onEnd(call, event)
            }
        }

        override fun onFailure(error: Throwable): Unit = onStreamFailure(call, error)

        override fun onClosed() {
            if (call.end == null) onStreamFailure(call, IllegalStateException("the stream closed before its end"))
        }
    }

    private fun onToken(call: OwnerCall, token: EngineEvent.Token) {
        if (token.adapter != call.adapter) return failStream(call, wrongAdapter(token.adapter))
        if (call.append(token)) flush(call)
    }

    private fun wrongAdapter(named: AdapterVersion) = Refusal(
        code = RefusalCode.WRONG_ADAPTER,
        step = Step.STREAM,
        peer = server.value,
        certainty = Certainty.UNKNOWN,
        detail = "the engine answered with $named",
    )

    private fun onEnd(call: OwnerCall, end: EngineEvent.End) {
        if (end.adapter != call.adapter) return failStream(call, wrongAdapter(end.adapter))
        call.end = end
        finish(call)
        flush(call)
        ctx.loop.after(ctx.settings.peers.resumeMillis, "forget_stream") { calls.remove(call.request, call) }
    }

    private fun finish(call: OwnerCall) {
        call.span?.end()
        ctx.guard.requestEnded(server, call.adapter, call.request)
        onEnded(StreamEnding.Finished(call))
    }

    private fun onStreamFailure(call: OwnerCall, error: Throwable) {
        if (calls[call.request] !== call || call.end != null) return
        val refusal = (error as? EngineException)?.refusal ?: serverFailure(error)
        when {
            refusal.certainty == Certainty.NOT_RUN && call.startMessage != null && call.nextOffset == 0 ->
                onNotStarted(call, error)

            refusal.code != RefusalCode.WRONG_ADAPTER && mayResume(call, error) -> scheduleResume(call)
            else -> failStream(call, refusal)
        }
    }

    private fun onNotStarted(call: OwnerCall, error: Throwable) {
        ctx.guard.requestEnded(server, call.adapter, call.request)
        onEnded(StreamEnding.NotStarted(call, error.engineReason()))
    }

    private fun mayResume(call: OwnerCall, error: Throwable): Boolean =
        call.resumeCount < MAX_RESUMES && error.engineReason() != UNKNOWN_REQUEST

    private fun scheduleResume(call: OwnerCall) {
        call.resumeCount++
        Logger.info(
            "event=stream_resumed step=stream peer={} request={} from={}",
            server,
            call.request,
            call.nextOffset,
        )
        ctx.loop.after(RESUME_DELAY_MILLIS * call.resumeCount, "resume_stream") {
            if (calls[call.request] === call) subscribe(call, client.resume(call.request, call.nextOffset))
        }
    }

    private fun failStream(call: OwnerCall, refusal: Refusal) {
        calls.remove(call.request)
        call.stream?.dispose()
        finish(call)
        val uncertain = refusal.copy(certainty = Certainty.UNKNOWN)
        ctx.links.send(call.entryVm, Message.GenerateRefused(call.request, uncertain))
        Logger.warn(
            "event=stream_lost step=stream peer={} request={} detail=\"{}\"",
            server,
            call.request,
            refusal.detail,
        )
    }

    private fun serverFailure(error: Throwable) = Refusal(
        code = RefusalCode.BACKEND_SERVER_FAILED,
        step = Step.STREAM,
        peer = server.value,
        certainty = Certainty.UNKNOWN,
        detail = error.message.orEmpty(),
    )

    private fun logCancelFailed(call: OwnerCall, error: Throwable): Unit = Logger.info(
        "event=cancel_lost step=stream peer={} request={} reason=\"{}\"",
        server,
        call.request,
        error.message,
    )

    /** Sends what the link accepts; the rest is sent by [expire], or once the entry VM resumes after a reconnect. */
    private fun flush(call: OwnerCall) {
        val unsent = call.unsent()
        if (unsent.isNotEmpty()) {
            val chunk = Message.GenerateChunk(call.request, call.sentUpTo, unsent.map { it.text })
            if (ctx.links.send(call.entryVm, chunk) != SendResult.QUEUED) return
            call.sentUpTo += unsent.size
        }
        val end = call.end ?: return
        if (!call.endSent) call.endSent = ctx.links.send(call.entryVm, endMessage(call, end)) == SendResult.QUEUED
    }

    private fun endMessage(call: OwnerCall, end: EngineEvent.End) = Message.GenerateEnd(
        request = call.request,
        total = end.total,
        adapter = end.adapter,
        server = server,
        finish = end.finish,
        stallMillis = call.stallNanos / NANOS_PER_MILLI,
    )

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val MAX_RESUMES = 4
        const val RESUME_DELAY_MILLIS = 50L
        const val UNKNOWN_REQUEST = "unknown_request"
    }
}
