package io.apricotslip.gateway.exchange

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ServiceId
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.placement.Choice
import io.apricotslip.serving.placement.EngineAsk
import io.apricotslip.serving.state.Route
import io.apricotslip.serving.state.ServiceSpec
import kotlin.math.min

/** Chooses servers for one request. */
internal class Placement(
    private val context: ExchangeContext,
    private val route: Route,
    private val facts: RequestFacts,
    private val service: ServiceId,
    private val spec: ServiceSpec?,
) {
    /**
     * Chooses a server at [now] for a request that came at [startedAt] and ends at [endsAt] at the latest.
     *
     * @param begun whether the caller has seen a part of the answer.
     */
    fun choose(tried: Set<BackendServerId>, startedAt: Long, endsAt: Long, begun: Boolean, now: Long): Choice {
        val servers = context.servers.fleet.usable(service, now)
        val engine = spec?.engine
        val adapter = facts.adapter
        if (engine == null || adapter == null) return context.rules.plain.choose(servers, tried, now)
        val ask = ask(adapter, tried, patience(startedAt, endsAt, begun, now), now)
        return context.rules.engines.choose(ask, servers, engine, now)
    }

    /** Connections that this node may have to one server: its part of what the server accepts. */
    fun connections(): Int =
        ((spec?.maxConnections ?: Int.MAX_VALUE) / context.nodes()).coerceAtLeast(FEWEST_CONNECTIONS)

    /** Urgency for the queue of an engine; null for plain services. */
    fun priority(): Int? = if (spec?.engine == null) null else route.priority.coerceAtMost(LOWEST_PRIORITY)

    private fun ask(adapter: ServedAdapter, tried: Set<BackendServerId>, budgetMillis: Long, now: Long) = EngineAsk(
        adapter = adapter,
        version = context.rules.version(adapter, now),
        promptTokens = facts.promptTokens,
        outputTokens = facts.outputTokens,
        budgetMillis = budgetMillis,
        gapMillis = route.gapMillis,
        excluded = tried,
    )

    /** Time in which a first event is still worth waiting for; a stream that began is always worth its end. */
    private fun patience(startedAt: Long, endsAt: Long, begun: Boolean, now: Long): Long {
        val left = endsAt - now
        if (begun) return left
        return min(left, (route.targetMillis * PATIENCE).toLong() - (now - startedAt))
    }

    private companion object {
        /** First events later than this many objectives are not worth the queue that they make others wait in. */
        const val PATIENCE = 1.5
        const val FEWEST_CONNECTIONS = 4
        const val LOWEST_PRIORITY = 9
    }
}
