package io.apricotslip.core.service

import io.apricotslip.api.id.RequestId
import io.apricotslip.api.id.VmId
import io.apricotslip.api.outcome.Certainty
import io.apricotslip.api.outcome.Refusal
import io.apricotslip.api.outcome.RefusalCode
import io.apricotslip.api.outcome.Step
import io.apricotslip.core.entry.EntryContext
import io.apricotslip.safety.OwnershipRanking
import io.apricotslip.wire.Message
import io.apricotslip.wire.SendResult
import io.opentelemetry.api.trace.SpanKind
import reactor.core.publisher.Mono
import reactor.core.publisher.MonoSink

/**
 * Calls of plain services at their entry VM. Keyed calls are sent to the home VM of their key. Confined to the node
 * loop, except for [open].
 */
internal class ServiceCalls(private val ctx: EntryContext, private val idempotentCalls: IdempotentCalls) {
    private class PendingCall(val home: VmId, val sink: MonoSink<ServiceReply>)

    private val pending = HashMap<RequestId, PendingCall>()

    /** Number of keyed calls in progress. */
    val size: Int get() = pending.size

    /** Set when this node shuts down; new calls are refused from then on. */
    var stopping: Boolean = false

    /** Starts a call. Safe to call from any thread. */
    fun open(request: ServiceRequest): Mono<ServiceReply> =
        Mono.create { sink -> ctx.loop.run("service_call") { admit(request, sink) } }

    /** Handles a message from a home VM; returns whether it answers a keyed call. */
    fun receive(from: VmId, message: Message): Boolean {
        when (message) {
            is Message.ReserveEnd -> {
                val reply = ServiceReply.Answered(message.status, message.contentType, message.body, message.server)
                removePending(message.request, from)?.sink?.success(reply)
            }

            is Message.ReserveRefused -> {
                ctx.metrics.recordRefusal(message.refusal)
                removePending(message.request, from)?.sink?.success(ServiceReply.Refused(message.refusal))
            }

            else -> return false
        }
        return true
    }

    /** Fails the calls that were sent to [vm] once its link is down. They may have run, so their outcome is unknown. */
    fun onPeerDown(vm: VmId) {
        val affected = pending.filterValues { it.home == vm }.keys
        affected.forEach {
            fail(it, RefusalCode.PEER_UNREACHABLE, vm, Certainty.UNKNOWN, "the link to the home VM went down")
        }
    }

    private fun admit(request: ServiceRequest, sink: MonoSink<ServiceReply>) {
        val manifest = ctx.manifests.current
        val code =
            when {
                stopping -> RefusalCode.STOPPING
                manifest == null || !ctx.ready() -> RefusalCode.NOT_READY
                manifest.service(request.service) == null -> RefusalCode.UNKNOWN_SERVICE
                else -> null
            }
        if (code != null) return refuse(sink, code, Step.ADMIT, ctx.self.value, "not admitted")
        val key = request.key ?: return idempotentCalls.call(request).subscribe(sink::success).let {}
        sendHome(request, key, sink)
    }

    private fun sendHome(request: ServiceRequest, key: String, sink: MonoSink<ServiceReply>) {
        val home = OwnershipRanking.home(key, ctx.membership.list.vms)
        if (home == null || !ctx.links.isUp(home)) {
            val peer = home?.value ?: ctx.self.value
            return refuse(
                sink,
                RefusalCode.PEER_UNREACHABLE,
                Step.FORWARD,
                peer,
                "the home VM of the key is unreachable",
            )
        }
        val span = ctx.traces.startSpan("reserve", SpanKind.SERVER, request.traceparent)
        pending[request.request] = PendingCall(home, sink)
        val result = ctx.links.send(home, message(request, key, ctx.traces.traceparent(span)))
        span.end()
        if (result != SendResult.QUEUED) {
            pending.remove(request.request)
            return refuse(sink, RefusalCode.PEER_UNREACHABLE, Step.FORWARD, home.value, "the link takes no message")
        }
        ctx.loop.after(request.deadlineMillis, "service_deadline") {
            fail(request.request, RefusalCode.DEADLINE, home, Certainty.UNKNOWN, "no answer before the deadline")
        }
    }

    private fun message(request: ServiceRequest, key: String, traceparent: String?) = Message.ReserveStart(
        request = request.request,
        service = request.service,
        key = key,
        method = request.method,
        path = request.path,
        contentType = request.contentType,
        body = request.body,
        budgetMillis = request.deadlineMillis,
        traceparent = traceparent,
    )

    private fun removePending(request: RequestId, from: VmId): PendingCall? =
        pending[request]?.takeIf { it.home == from }?.also { pending.remove(request) }

    private fun fail(request: RequestId, code: RefusalCode, peer: VmId, certainty: Certainty, detail: String) {
        val call = pending.remove(request) ?: return
        val refusal = Refusal(code, Step.RESERVE, peer.value, certainty, detail)
        ctx.metrics.recordRefusal(refusal)
        call.sink.success(ServiceReply.Refused(refusal))
    }

    private fun refuse(sink: MonoSink<ServiceReply>, code: RefusalCode, step: Step, peer: String, detail: String) {
        val refusal = Refusal(code, step, peer, Certainty.NOT_RUN, detail)
        ctx.metrics.recordRefusal(refusal)
        sink.success(ServiceReply.Refused(refusal))
    }
}
