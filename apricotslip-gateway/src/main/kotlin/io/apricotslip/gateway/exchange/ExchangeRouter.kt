package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.ServiceId
import io.apricotslip.api.id.WorkspaceId
import io.apricotslip.api.peer.StreamOrigin
import io.apricotslip.gateway.caller.CallerHandler
import io.apricotslip.gateway.caller.CallerListener
import io.apricotslip.gateway.caller.CallerRequest
import io.apricotslip.gateway.caller.CallerResponse
import io.apricotslip.gateway.help.PassedOnHeaders
import io.apricotslip.gateway.help.PassedOnRequest
import io.apricotslip.serving.state.DesiredState
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.state.RouteKind
import io.apricotslip.serving.stream.StreamContinuation
import io.apricotslip.serving.workspace.Credential
import io.apricotslip.serving.workspace.KeyCheck
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import kotlin.random.Random

/** Resolves the route of each request and starts its exchange. */
internal class ExchangeRouter(private val context: ExchangeContext) : CallerHandler {
    private object NoOpListener : CallerListener {
        override fun onCallerDisconnected() = Unit

        override fun onWritabilityChanged(writable: Boolean) = Unit
    }

    /** Number of requests in flight. */
    val openCount: Int
        get() = context.openCount

    /** Requests at servers that are silent. */
    val silence = SilenceWatch(context.openRequests, context.servers.prober::confirm)

    private val startupQueue = StartupQueue(context.loop, serving = ::serve, refusing = ::refuseNotReady)

    override fun handle(request: CallerRequest, response: CallerResponse): CallerListener {
        context.help.recordOrigin(request)
        return when {
            context.stopping() -> refuseNotReady(request, response)
            context.initializing() -> startupQueue.enqueue(request, response)
            else -> serve(request, response)
        }
    }

    /** Serves the requests that waited until the node had read its state from the store. */
    fun onStateLoaded() = startupQueue.drain()

    private fun refuseNotReady(request: CallerRequest, response: CallerResponse): CallerListener {
        val metadata = context.dialect.parseRequestHeaders(request.headers)
        val status = HttpResponseStatus.SERVICE_UNAVAILABLE
        return refuse(response, metadata, status, NOT_READY_RETRY_MILLIS, "not_ready", request.passedOnToken)
    }

    private fun serve(request: CallerRequest, response: CallerResponse): CallerListener {
        val metadata = context.dialect.parseRequestHeaders(request.headers)
        val state = context.desiredState() ?: return refuseNotReady(request, response)
        val host = request.headers.get(HttpHeaderNames.HOST).orEmpty().substringBefore(':')
        val route = state.route(host, request.path)
            ?: return refuse(
                response,
                metadata,
                HttpResponseStatus.NOT_FOUND,
                retryAfterMillis = null,
                "no_route version=${state.version}",
            )
        return refusal(request, response, metadata, route, state) ?: place(request, response, metadata, route)
    }

    /** Refuses a request without a valid key, or over the allowance of its workspace; null when it is admitted. */
    private fun refusal(
        request: CallerRequest,
        response: CallerResponse,
        metadata: RequestMetadata,
        route: Route,
        state: DesiredState,
    ): CallerListener? {
        when (val verdict = check(state, route, metadata, request)) {
            is KeyCheck.Verdict.Refused -> return refuseUnauthorized(response, metadata, route, verdict)
            is KeyCheck.Verdict.Admitted -> request.owner = RequestOwner.of(verdict.identity, route, state)
        }
        if (request.passedOnToken == null) request.owner.identity?.let(context.metrics::recordIdentified)
        val over = context.rules.allowances.acquire(request, metadata) ?: return null
        val status = HttpResponseStatus.TOO_MANY_REQUESTS
        return refuse(response, metadata, status, over.retryAfterMillis, over.reason)
    }

    private fun place(
        request: CallerRequest,
        response: CallerResponse,
        metadata: RequestMetadata,
        route: Route,
    ): CallerListener {
        if (context.help.isWanted && request.passedOnToken == null) {
            val deadlineAt = context.deadlineAt(route, metadata, request.arrivedAt)
            return PassedOnRequest(context, request, response, metadata, route, deadlineAt).start()
        }
        val takesUp = route.kind == RouteKind.STREAM && metadata.continuesStream
        if (takesUp) return takeUp(request, response, metadata, route)
        return exchange(request, response, metadata, route, route.serviceAt(Random.nextDouble()))
    }

    private fun check(
        state: DesiredState,
        route: Route,
        metadata: RequestMetadata,
        request: CallerRequest,
    ): KeyCheck.Verdict {
        val sender = request.passedOnToken?.let { KeyCheck.Sender.Node(checkedWorkspace(request, metadata, it)) }
            ?: KeyCheck.Sender.Caller
        // Where no request needs a key, none is read.
        val credential =
            if (state.workspaces == null) Credential.None else context.dialect.parseCredential(request.headers)
        return KeyCheck.check(state.workspaces, route.allowsAnonymous, credential, sender)
    }

    /** The workspace that [request] names, if the node that has passed it on with [token] has identified it. */
    private fun checkedWorkspace(request: CallerRequest, metadata: RequestMetadata, token: String): WorkspaceId? {
        val digest = request.checkedWorkspaceDigest ?: return null
        return metadata.statedWorkspace?.takeIf { PassedOnHeaders.isCheckedWorkspace(digest, token, it) }
    }

    private fun refuseUnauthorized(
        response: CallerResponse,
        metadata: RequestMetadata,
        route: Route,
        verdict: KeyCheck.Verdict.Refused,
    ): CallerListener {
        context.metrics.recordRefusal(UNKNOWN_KEY)
        context.log.write {
            "event=refused request=${metadata.id} route=${route.name} status=401 reason=$UNKNOWN_KEY " +
                "presented=${verdict.presented}"
        }
        EmptyResponse.sendUnauthorized(context, response, metadata.id)
        return NoOpListener
    }

    private fun exchange(
        request: CallerRequest,
        response: CallerResponse,
        metadata: RequestMetadata,
        route: Route,
        service: ServiceId,
        origin: StreamOrigin? = null,
    ): CallerListener {
        val spec = context.desiredState()?.services?.get(service)
        return Exchange(context, request, response, metadata, route, service, spec, origin).also(Exchange::start)
    }

    /** Goes on with a stream that another attempt of the caller began, perhaps at another node. */
    private fun takeUp(
        request: CallerRequest,
        response: CallerResponse,
        metadata: RequestMetadata,
        route: Route,
    ): CallerListener {
        val waiting = WaitingRequest(request, response)
        context.streams.find(metadata.resumedRequest, route) { continuation ->
            val waitedMillis = context.now() - request.arrivedAt
            context.metrics.recordTakenUpStream(continuation)
            context.log.write {
                "event=stream_taken_up request=${metadata.id} route=${route.name} resumes=${metadata.resumedRequest} " +
                    "continuation=$continuation waited_ms=$waitedMillis"
            }
            // No server gets the request then.
            val ends = waiting.disconnected || continuation is StreamContinuation.Nowhere
            if (ends) request.permit.refund(context.now())
            waiting.handOver { _, _ ->
                when (continuation) {
                    is StreamContinuation.At ->
                        exchange(request, response, metadata, route, continuation.origin.service, continuation.origin)
                    is StreamContinuation.Nowhere -> refuse(
                        response,
                        metadata,
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        LOST_STREAM_RETRY_MILLIS,
                        continuation.reason.name.lowercase(),
                    )
                }
            }
        }
        return waiting
    }

    /** Requests that wait for a place at the servers. */
    val rooms get() = context.rooms

    /** Ends the requests in flight that were put into quarantine. */
    fun endQuarantined() = context.openRequests.toList().forEach(Exchange::endIfQuarantined)

    /** Answers the requests in flight, whatever became of them, because the node ends. */
    fun endAll() {
        context.openRequests.toList().forEach(Exchange::endUnfinished)
        context.help.open.toList().forEach(PassedOnRequest::endUnfinished)
    }

    private fun refuse(
        response: CallerResponse,
        metadata: RequestMetadata,
        status: HttpResponseStatus,
        retryAfterMillis: Long?,
        reason: String,
        declineToken: String? = null,
    ): CallerListener {
        context.metrics.recordRefusal(reason.substringBefore(' '))
        context.log.write { "event=refused request=${metadata.id} status=${status.code()} reason=$reason" }
        EmptyResponse.send(context, response, metadata.id, status, retryAfterMillis, declineToken)
        return NoOpListener
    }

    private companion object {
        const val UNKNOWN_KEY = "unknown_key"

        /** About the time until a starting node has read the store, or a peer answers instead of a stopping one. */
        const val NOT_READY_RETRY_MILLIS = 300L

        /** About the time in which a node that was cut off from the others may learn what began a stream. */
        const val LOST_STREAM_RETRY_MILLIS = 500L
    }
}
