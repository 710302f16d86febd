package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.order.LoadRequest
import io.apricotslip.serving.placement.PlacementDecision
import io.apricotslip.serving.placement.PlacementRequest
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.state.ServiceSpec
import kotlin.math.min

/** Chooses servers for one request. */
internal class Placement(
    private val context: ExchangeContext,
    private val route: Route,
    private val facts: RequestMetadata,
    private val service: ServiceId,
    private val spec: ServiceSpec?,
) {
    /** When a request came, and when it ends at the latest. */
    class Times(val startedAt: Long, val endsAt: Long)

    /** How far a request has come. */
    enum class Progress {
        /** It can be refused at once. */
        NEW,

        /** It was accepted, and waited for a server or an adapter. */
        ACCEPTED,

        /** It may have run, or the caller has seen a part of the answer. */
        STARTED,
    }

    /** Chooses a server at [now]. */
    fun choose(tried: Set<BackendServerId>, times: Times, progress: Progress, now: Long): PlacementDecision {
        val servers = context.servers.fleet.usable(service, now)
        val engine = spec?.engine
        val adapter = facts.adapter
        if (engine == null || adapter == null) return context.rules.plain.choose(servers, tried, now)
        val ask = ask(adapter, tried, times, progress, now)
        return context.rules.engines.choose(ask, servers, engine, now)
    }

    /** The wish for [adapter] at an engine where the prompt will wait and be read for [queueMillis]. */
    fun wanted(adapter: ServedAdapter, queueMillis: Long, times: Times, progress: Progress, now: Long): LoadRequest {
        val started = progress == Progress.STARTED
        return LoadRequest(
            adapter = adapter,
            minVersion = context.rules.requiredVersion(adapter, now) ?: 0,
            dueAt = if (started) now else times.startedAt + route.targetLatencyMillis - queueMillis,
            expiresAt = if (started) times.endsAt else now + patience(times, ACCEPTED_PATIENCE, now),
        )
    }

    /** Connections that this node may have to one server: its part of what the server accepts. */
    fun connections(): Int =
        ((spec?.maxConnections ?: Int.MAX_VALUE) / context.nodeCount()).coerceAtLeast(FEWEST_CONNECTIONS)

    /** Urgency for the queue of an engine; null for plain services. */
    fun priority(): Int? = if (spec?.engine == null) null else route.priority.coerceAtMost(LOWEST_PRIORITY)

    private fun ask(
        adapter: ServedAdapter,
        tried: Set<BackendServerId>,
        times: Times,
        progress: Progress,
        now: Long,
    ): PlacementRequest {
        val queue = when (progress) {
            Progress.NEW -> patience(times, PATIENCE, now)
            Progress.ACCEPTED -> patience(times, ACCEPTED_PATIENCE, now)
            Progress.STARTED -> times.endsAt - now
        }
        return PlacementRequest(
            adapter = adapter,
            minVersion = context.rules.requiredVersion(adapter, now),
            promptTokens = facts.promptTokens,
            outputTokens = facts.maxOutputTokens,
            budgetMillis = queue,
            loadBudgetMillis = maxOf(queue, patience(times, LOAD_PATIENCE, now)),
            targetGapMillis = route.targetGapMillis,
            excluded = tried,
        )
    }

    /** What is left at [now] of [objectives] times the objective. */
    private fun patience(times: Times, objectives: Double, now: Long): Long =
        min(times.endsAt - now, (route.targetLatencyMillis * objectives).toLong() - (now - times.startedAt))

    private companion object {
        /** First events later than this many objectives are not worth the queue that they make others wait in. */
        const val PATIENCE = 1.5

        /** Loads that are late yield to those in time, so that a wait for one costs others less than a queue does. */
        const val LOAD_PATIENCE = 4.0

        /** A request that waited already is worth a late answer more than a refusal and another try. */
        const val ACCEPTED_PATIENCE = 5.0
        const val FEWEST_CONNECTIONS = 4
        const val LOWEST_PRIORITY = 9
    }
}
