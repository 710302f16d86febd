package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.order.LoadRequest
import io.apricotslip.serving.placement.PlacementDecision
import io.apricotslip.serving.placement.PlacementRequest
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.state.ServiceSpec
import kotlin.math.min

/** Selects servers for one request. */
internal class Placement(
    private val context: ExchangeContext,
    private val route: Route,
    private val metadata: RequestMetadata,
    private val service: ServiceId,
    private val spec: ServiceSpec?,
    private val continuity: StreamContinuity,
    private val owner: RequestOwner,
) {
    /** Whether requests wait at the nodes for places at the servers. */
    private val queues = owner.identity != null

    /** When a request arrived and when it must end, in milliseconds of the node's steady clock. */
    class Timing(val startedAt: Long, val deadlineAt: Long) {
        /** Time that a server gets for a request that is sent at [now]; 0 or less when there is none left. */
        fun serverBudgetMillis(now: Long): Long = deadlineAt - now - RESPONSE_MARGIN_MILLIS
    }

    /** Progress of a request. */
    enum class Progress {
        /** The request can be refused at once. */
        NEW,

        /** The request was accepted and has waited for a server or an adapter, or its stream began earlier. */
        ACCEPTED,

        /** The request may have been executed, or the caller has received a part of the response. */
        STARTED,
    }

    /** Selects a server at [now], outside [excluded]. */
    fun choose(excluded: Set<BackendServerId>, timing: Timing, progress: Progress, now: Long): PlacementDecision {
        val servers = usableServers(now)
        val share = context.rules.traffic.share(now)
        val limited = servers.filterNot { it.requestLimit.available(share, now) }
        val full = servers.filterNot { it.hasRoom(share, now) }
        val closed = excluded + limited.map { it.id } + full.map { it.id }
        val probe = if (progress == Progress.NEW) chooseProbe(servers, closed, timing, now) else null
        val decision = probe ?: choose(servers, closed, timing, progress, now)
        if (decision !is PlacementDecision.Refuse || !decision.noServer) return decision
        if ((full - limited.toSet()).any { it.id !in excluded }) return whenFull(timing, progress, now)
        val open = limited.filter { it.id !in excluded }
        if (open.isEmpty()) {
            return whenPaused(excluded, timing, progress, now) ?: whenOnlyUnreachable(excluded, timing, now) ?: decision
        }
        val rate = open.sumOf { it.requestLimit.ownRate(share) ?: 0.0 }
        val delayMillis = context.rules.returnSchedule(service).nextDelayMillis(rate, now)
        return PlacementDecision.Refuse(PlacementDecision.Reason.LIMITED, delayMillis)
    }

    /**
     * The decision for a request that may have been executed, if it had to go on at [now] outside [excluded]. Unlike
     * [choose] it takes no turn in the schedule of returns, so that it may be asked without being carried out.
     */
    fun chooseAlternative(excluded: Set<BackendServerId>, timing: Timing, now: Long): PlacementDecision {
        val servers = usableServers(now)
        val share = context.rules.traffic.share(now)
        val closed = servers.filterNot { it.requestLimit.available(share, now) && it.hasRoom(share, now) }
        return choose(servers, excluded + closed.map { it.id }, timing, Progress.STARTED, now)
    }

    private fun usableServers(now: Long) = context.servers.fleet.usable(service, now).filter(continuity::allows)

    /**
     * The decision when the servers that could answer are brittle and this node's share of their places is taken. A
     * request waits here, not there, for as long as it can still be in time.
     */
    private fun whenFull(timing: Timing, progress: Progress, now: Long): PlacementDecision {
        val patienceMillis = when (progress) {
            Progress.STARTED -> timing.deadlineAt - now
            Progress.NEW, Progress.ACCEPTED -> remainingWait(timing, MAX_PAUSE_WAIT_FACTOR, now)
        }
        if (patienceMillis > ROOM_POLL_MILLIS) return PlacementDecision.Wait(ROOM_POLL_MILLIS)
        return PlacementDecision.Refuse(PlacementDecision.Reason.OVERLOADED, FULL_RETRY_MILLIS)
    }

    /**
     * The decision when all servers that could answer want no requests for a while; null when none of them does. What
     * waits here and what comes back later reaches them at the pace at which requests arrive, not all at once.
     */
    private fun whenPaused(
        excluded: Set<BackendServerId>,
        timing: Timing,
        progress: Progress,
        now: Long,
    ): PlacementDecision? {
        val pauseMillis = context.servers.fleet.shortestPauseMillis(service, excluded, now) ?: return null
        val pace = context.rules.traffic.requestsPerSecond(now)
        val schedule = context.rules.returnSchedule(service)
        val delayMillis = schedule.nextDelayAfterPauseMillis(pace, now, openAt = now + pauseMillis)
        val patienceMillis = when (progress) {
            Progress.STARTED -> (timing.deadlineAt - now) / 2
            Progress.NEW, Progress.ACCEPTED -> remainingWait(timing, MAX_PAUSE_WAIT_FACTOR, now)
        }
        if (delayMillis <= patienceMillis) return PlacementDecision.Wait(delayMillis)
        return PlacementDecision.Refuse(PlacementDecision.Reason.PAUSED, delayMillis)
    }

    /**
     * The decision when the servers at which a stream that has begun could go on were unreachable lately; null when
     * there is none. Most streams have many servers to go on at, but few of the same software version.
     */
    private fun whenOnlyUnreachable(excluded: Set<BackendServerId>, timing: Timing, now: Long): PlacementDecision? {
        val hopeful = !continuity.unbound && now + UNREACHABLE_POLL_MILLIS < timing.deadlineAt &&
            context.servers.fleet.serversNotLeaving(service).any {
                continuity.allows(it) && it.id !in excluded && !it.health.usable(now)
            }
        return if (hopeful) PlacementDecision.Wait(UNREACHABLE_POLL_MILLIS) else null
    }

    private fun choose(
        servers: List<Server>,
        excluded: Set<BackendServerId>,
        timing: Timing,
        progress: Progress,
        now: Long,
    ): PlacementDecision {
        val engine = spec?.engine
        val adapter = metadata.adapter
        val atLimit = context.atPaceLimit(servers, now)
        if (engine == null || adapter == null) {
            return context.rules.plain.choose(servers, excluded, atLimit, context.rules.plainCandidates(queues))
        }
        val placementRequest = placementRequest(adapter, excluded, timing, progress, now)
        val candidates = context.rules.engineCandidates(queues, context.nodeCount())
        return context.rules.engines.choose(placementRequest, servers, engine, atLimit, candidates)
    }

    /** A decision for a failing server that is to show whether it has recovered; null when there is none. */
    private fun chooseProbe(
        servers: List<Server>,
        closed: Set<BackendServerId>,
        timing: Timing,
        now: Long,
    ): PlacementDecision? {
        val adapter = metadata.adapter?.takeIf { it.adapter != null }
        val open = servers.filter { it.id !in closed && (adapter == null || adapter in it.adapters) }
        val probed = context.rules.probes.due(open, context.rules.traffic.share(now), now) ?: return null
        return choose(listOf(probed), closed, timing, Progress.NEW, now) as? PlacementDecision.Send
    }

    /** The load request for [adapter] on an engine where queueing and prefill will take [queueMillis]. */
    fun loadRequest(
        adapter: ServedAdapter,
        queueMillis: Long,
        timing: Timing,
        progress: Progress,
        now: Long,
    ): LoadRequest {
        val started = progress == Progress.STARTED
        return LoadRequest(
            adapter = adapter,
            minVersion = context.rules.minVersion(adapter, now) ?: 0,
            dueAt = if (started) now else timing.startedAt + route.targetLatencyMillis - queueMillis,
            expiresAt = if (started) timing.deadlineAt else now + remainingWait(timing, MAX_ACCEPTED_WAIT_FACTOR, now),
        )
    }

    /** Whether a request that servers executed [executions] times and failed may be sent again at [now]. */
    fun mayRepeatFailed(executions: Int, timing: Timing, now: Long): Boolean = route.retryable &&
        executions < route.maxAttempts &&
        now + route.targetLatencyMillis / 2 <= timing.deadlineAt &&
        context.rules.retryBudget(service).available(now, context.nodeCount())

    /** Maximum number of connections from this node to one server: its share of what the server accepts. */
    fun maxConnections(): Int =
        ((spec?.maxConnections ?: Int.MAX_VALUE) / context.nodeCount()).coerceAtLeast(MIN_CONNECTIONS)

    /** What the gateway adds to the request when it is sent to [server] at [now]. */
    fun serverRequest(server: Server, budgetMillis: Long, lastEventId: Long?, now: Long): ServerRequestMetadata {
        val version = metadata.adapter?.let { context.rules.minVersion(it, now) }
        return ServerRequestMetadata(
            server.id,
            budgetMillis,
            lastEventId,
            version,
            enginePriority(),
            owner.workspaceId,
            // The desired state may have got workspaces since the request was admitted.
            keyChecked = owner.identity != null || context.desiredState()?.workspaces != null,
        )
    }

    /** Priority of the request in the queue of an engine; null for plain services. */
    private fun enginePriority(): Int? = spec?.engine?.let { owner.enginePriority }

    private fun placementRequest(
        adapter: ServedAdapter,
        excluded: Set<BackendServerId>,
        timing: Timing,
        progress: Progress,
        now: Long,
    ): PlacementRequest {
        val budgetMillis = when (progress) {
            Progress.NEW -> remainingWait(timing, MAX_QUEUE_WAIT_FACTOR, now)
            Progress.ACCEPTED -> remainingWait(timing, MAX_ACCEPTED_WAIT_FACTOR, now)
            Progress.STARTED -> timing.deadlineAt - now
        }
        return PlacementRequest(
            adapter = adapter,
            minVersion = context.rules.minVersion(adapter, now),
            promptTokens = metadata.promptTokens,
            outputTokens = metadata.maxOutputTokens,
            budgetMillis = budgetMillis,
            loadBudgetMillis = maxOf(budgetMillis, remainingWait(timing, MAX_LOAD_WAIT_FACTOR, now)),
            onTimeMillis = remainingWait(timing, 1.0, now),
            targetGapMillis = route.targetGapMillis,
            excluded = excluded,
        )
    }

    /** Milliseconds left at [now] of a wait of [factor] times the latency objective of the route. */
    private fun remainingWait(timing: Timing, factor: Double, now: Long): Long =
        min(timing.deadlineAt - now, (route.targetLatencyMillis * factor).toLong() - (now - timing.startedAt))

    /**
     * The wait factors are multiples of the latency objective of the route. Callers give a stream up that has not begun
     * after four of them, so that a request that waits longer only takes the place of others.
     */
    private companion object {
        /** A first event later than this is not worth the queueing delay that it causes for other requests. */
        const val MAX_QUEUE_WAIT_FACTOR = 1.5

        /** Late loads yield to loads that can be on time, so waiting for one costs other requests less than a queue. */
        const val MAX_LOAD_WAIT_FACTOR = 2.5

        /** The rest of the objective is for the answer, so that a request that waited can still be in time. */
        const val MAX_PAUSE_WAIT_FACTOR = 0.5

        /** A request that has already waited is better served late than refused and retried. */
        const val MAX_ACCEPTED_WAIT_FACTOR = 3.0
        const val MIN_CONNECTIONS = 4

        /** A small part of the time that a request of the deployments' booking services takes. */
        const val ROOM_POLL_MILLIS = 15L

        /** A few service times of the deployments' booking services. */
        const val FULL_RETRY_MILLIS = 250L

        /** A small part of the first backoff of a server. */
        const val UNREACHABLE_POLL_MILLIS = 60L

        /** Time for a response that a server sends at its deadline to arrive before this node ends the request. */
        const val RESPONSE_MARGIN_MILLIS = 30L
    }
}
