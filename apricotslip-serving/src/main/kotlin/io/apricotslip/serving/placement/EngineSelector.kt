package io.apricotslip.serving.placement

import io.apricotslip.api.id.ZoneId
import io.apricotslip.rules.placement.Rendezvous
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.fleet.ServerUtilization
import io.apricotslip.serving.order.AdapterLoadEstimator
import io.apricotslip.serving.order.AdapterSlots
import io.apricotslip.serving.state.ServiceSpec.EngineSpec

/**
 * Chooses the engine with the earliest expected first event.
 *
 * The load that it answers: many rare adapters among a few busy ones, on engines of unequal speed. An adapter's
 * requests stay together until the queue of its engine costs more than a load elsewhere; rare adapters return to the
 * engine that held them before, where a load is short. When demand moves and more adapters are wanted than the weight
 * store delivers, or than engines have places for, requests that would wait too long are refused at once.
 *
 * @param loadable whether adapters can be loaded at a server now: its order holder is known and reachable.
 */
public class EngineSelector(
    private val zone: ZoneId,
    private val loads: AdapterLoadEstimator,
    private val loadable: (Server) -> Boolean,
) {
    /**
     * An engine and the expected time to a first event there.
     *
     * @property queueMillis time in the queue of the engine and for reading the prompt.
     * @property loadMillis time until the adapter is in place; 0 when it is.
     * @property penalty what else speaks against the engine, in milliseconds.
     */
    private class Option(
        val server: Server,
        val queueMillis: Double,
        val loadMillis: Double,
        val penalty: Double,
        val resident: Boolean,
    ) {
        val millis = queueMillis + loadMillis

        fun over(ask: PlacementRequest): Double =
            maxOf(queueMillis - ask.budgetMillis, if (resident) 0.0 else millis - ask.loadBudgetMillis)
    }

    /** Adapters that are wanted and not in place: at each engine, and at all of them together. */
    private class Backlog(private val adapter: ServedAdapter, servers: List<Server>, now: Long) {
        private val wanted = servers.associate { it.id to it.adaptersInUse(now) }
        private val pending = servers.associate { server ->
            server.id to wanted.getValue(server.id).count { it != adapter && it !in server.adapters }
        }
        val all: Int = pending.values.sum()

        fun at(server: Server): Int = pending.getValue(server.id)

        /** Places that are taken by adapters which requests use, or wait for. */
        fun taken(server: Server): Int = wanted.getValue(server.id).count { it != adapter }
    }

    /**
     * Chooses among [servers], which are usable, for [ask]. A caller that is refused may come back when the work that
     * is there now is done.
     */
    public fun choose(ask: PlacementRequest, servers: List<Server>, spec: EngineSpec, now: Long): PlacementDecision {
        val holding = servers.filter { ask.adapter.model in it.entry.models && it.id !in ask.excluded }
        if (holding.isEmpty()) {
            return PlacementDecision.Refuse(
                PlacementDecision.Reason.NO_SERVER,
                NO_SERVER_RETRY_MILLIS,
            )
        }
        val sound = holding.filterNot { it.health.degraded }.ifEmpty { holding }
        val backlog = lazy(LazyThreadSafetyMode.NONE) { Backlog(ask.adapter, servers, now) }
        val options = sound.mapNotNull { option(ask, it, spec, backlog, now) }
        val best = options.minByOrNull { it.millis + it.penalty }
            ?: return withoutHolder(ask)
        val over = best.over(ask)
        if (over > 0) return PlacementDecision.Refuse(PlacementDecision.Reason.OVERLOADED, best.millis.toLong())
        val estimate = best.millis.toLong()
        if (best.resident) return PlacementDecision.Send(best.server, estimate)
        return PlacementDecision.LoadAdapter(best.server, estimate, best.queueMillis.toLong())
    }

    /** No order holder is known, as after a start: one is about to be, unless the nodes cannot talk. */
    private fun withoutHolder(ask: PlacementRequest): PlacementDecision {
        if (ask.loadBudgetMillis > loads.storeLoadMillis) return PlacementDecision.Wait(HOLDER_MILLIS)
        return PlacementDecision.Refuse(PlacementDecision.Reason.NO_PLACE, NO_PLACE_RETRY_MILLIS)
    }

    private fun option(
        ask: PlacementRequest,
        server: Server,
        spec: EngineSpec,
        backlog: Lazy<Backlog>,
        now: Long,
    ): Option? {
        val use = server.totalUtilization(now)
        val queue =
            server.latencyEstimator.firstEventMillis(use.pendingPromptTokens, ask.promptTokens) +
                fullMillis(ask, server, use, spec)
        val distance = if (server.entry.zone == zone) 0.0 else OTHER_ZONE_MILLIS
        val penalty = distance + pauseCost(ask, server, use)
        val version = server.adapters[ask.adapter]
        val resident = ask.adapter.adapter == null || (version != null && version >= (ask.minVersion ?: 0))
        if (resident) return Option(server, queue, loadMillis = 0.0, penalty, resident = true)
        if (!loadable(server)) return null
        val load = loadMillis(ask.adapter, server, backlog.value) + placeMillis(server, spec, backlog.value)
        return Option(server, queue, load, penalty + loadCost(ask.adapter, server, backlog.value), resident = false)
    }

    /** What it costs the streams of an engine that this prompt makes them pause for longer than they should. */
    private fun pauseCost(ask: PlacementRequest, server: Server, use: ServerUtilization): Double {
        if (ask.targetGapMillis == 0L || use.running == 0) return 0.0
        val over =
            server.latencyEstimator.longestGapMillis(use.pendingPromptTokens + ask.promptTokens) -
                ask.targetGapMillis * PAUSE_SHARE
        return if (over > 0) PAUSE_MILLIS + over else 0.0
    }

    /** Time until a batch or memory that is full has room again. */
    private fun fullMillis(ask: PlacementRequest, server: Server, use: ServerUtilization, spec: EngineSpec): Double {
        val slots = server.entry.requestSlots.coerceAtLeast(1)
        val overSlots = use.running + 1 - slots
        val tokens = use.kvCacheTokens + ask.promptTokens + ask.outputTokens
        val overTokens = tokens - spec.kvCacheTokens * MEMORY_SHARE
        val bySlots = if (overSlots > 0) streamMillis(server) * overSlots / slots else 0.0
        val byMemory = if (overTokens > 0) streamMillis(server) * overTokens / spec.kvCacheTokens else 0.0
        return maxOf(bySlots, byMemory)
    }

    /** Time until the adapter is in place, with the loads that are wanted before it. */
    private fun loadMillis(adapter: ServedAdapter, server: Server, backlog: Backlog): Double {
        if (adapter in server.loading) return loads.storeLoadMillis * COMING_SHARE + ORDER_MILLIS
        if (server.recentlyHeld(adapter)) return loads.cachedLoadMillis + ORDER_MILLIS
        val turns = maxOf(
            1.0,
            (backlog.all + 1) / loads.fullSpeedLoads,
            (backlog.at(server) + 1.0) / AdapterSlots.CONCURRENT_LOADS,
        )
        return loads.storeLoadMillis * turns + ORDER_MILLIS
    }

    /** Time until one of the places is free, when requests use all of them. */
    private fun placeMillis(server: Server, spec: EngineSpec, backlog: Backlog): Double {
        val places = spec.usableAdapterSlots(server.entry.models).coerceAtLeast(1)
        val over = backlog.taken(server) + 1 - places
        return if (over > 0) streamMillis(server) * over / places else 0.0
    }

    private fun streamMillis(server: Server) = server.latencyEstimator.meanGapMillis * EVENTS_OF_STREAM

    /** Tells engines for a first load apart: the same way at all nodes, unless one has more loads to do than others. */
    private fun loadCost(adapter: ServedAdapter, server: Server, backlog: Backlog): Double {
        if (adapter in server.loading || server.recentlyHeld(adapter)) return 0.0
        return FIRST_LOAD_COST_MILLIS + BEHIND_MILLIS * backlog.at(server) +
            PREFERENCE_MILLIS * Rendezvous.unit(adapter.toString(), server.id.value)
    }

    private companion object {
        /** The queue of a service without servers: about the time until a crashed server is back. */
        const val NO_SERVER_RETRY_MILLIS = 1_000L

        /** Between looks for an order holder: a small part of the time until there is one. */
        const val HOLDER_MILLIS = 60L

        /** About the time in which nodes that start together claim the orders of the engines. */
        const val NO_PLACE_RETRY_MILLIS = 900L

        /** Bytes between zones are priced by the users; worth a few milliseconds of the objective, no more. */
        const val OTHER_ZONE_MILLIS = 12.0

        /** The order, its confirmation and the way to the node that gives it. */
        const val ORDER_MILLIS = 40.0

        /** Half of a load that is under way is left, on average. */
        const val COMING_SHARE = 0.5

        /** Loads from the store are priced by the users, and each drops an adapter that may be asked for again. */
        const val FIRST_LOAD_COST_MILLIS = 40.0

        /** Loads at one engine wait for each other when the store is slow; less than the share of one in a load. */
        const val BEHIND_MILLIS = 20.0

        /** Spread of the preference among engines, less than a load: it decides between equals. */
        const val PREFERENCE_MILLIS = 120.0

        /** Below the longest pause by this share, for what the estimate does not know. */
        const val PAUSE_SHARE = 0.85

        /** About a load elsewhere: running streams that become late cost more than one that is loaded first. */
        const val PAUSE_MILLIS = 200.0

        /** Mean number of events of a stream by the deployments' sheets. */
        const val EVENTS_OF_STREAM = 50

        /** Memory beyond this share risks that running streams are preempted. */
        const val MEMORY_SHARE = 0.95
    }
}
