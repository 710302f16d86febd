package io.apricotslip.serving.placement

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.rules.placement.RendezvousHashing
import io.apricotslip.serving.fleet.ServedAdapter
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.fleet.ServerUtilization
import io.apricotslip.serving.order.AdapterLoadEstimator
import io.apricotslip.serving.order.AdapterSlots
import io.apricotslip.serving.state.ServiceSpec.EngineSpec

/**
 * Selects the engine with the earliest expected first event.
 *
 * Designed for this workload: many rare adapters among a few busy ones, on engines of unequal speed. Requests for an
 * adapter stay together as long as an engine that holds it, or held it not long ago, answers within the objective: a
 * load from the store delays others and evicts an adapter that may be requested again. Rare adapters return to the
 * engine that held them before, where a load is short. When demand shifts and more adapters are requested than the
 * weight store delivers, or than the engines have slots for, requests that would wait too long are refused at once.
 *
 * @param loadable whether adapters can be loaded at a server now: its order holder is known and reachable.
 */
public class EngineSelector(
    private val zone: ZoneId,
    private val loads: AdapterLoadEstimator,
    private val loadable: (Server) -> Boolean,
) {
    /**
     * An engine and the expected time to the first event there.
     *
     * @property queueMillis time in the queue of the engine and for processing the prompt.
     * @property loadMillis time until the adapter is resident; 0 when it is.
     * @property penaltyMillis other costs of choosing the engine, in milliseconds.
     */
    private class Candidate(
        val server: Server,
        val queueMillis: Double,
        val loadMillis: Double,
        val penaltyMillis: Double,
        val resident: Boolean,
        val usesStore: Boolean = false,
    ) {
        val totalMillis = queueMillis + loadMillis

        /** Time by which the budget of [request] is exceeded; positive when it is. */
        fun excessMillis(request: PlacementRequest): Double = maxOf(
            queueMillis - request.budgetMillis,
            if (resident) 0.0 else totalMillis - request.loadBudgetMillis,
        )
    }

    /** Adapters that are requested but not resident, per engine and over all engines. */
    private class Backlog(private val adapter: ServedAdapter, servers: List<Server>) {
        private val demand = servers.associate { it.id to it.adapterDemand() }
        val total: Int = servers.sumOf(::pendingAt)

        /** Other adapters that are requested but not resident at [server]. */
        fun pendingAt(server: Server): Int =
            demand.getValue(server.id).pending - if (server.inUse(adapter) && adapter !in server.adapters) 1 else 0

        /** Slots taken by other adapters that requests use or wait for. */
        fun slotsInUse(server: Server): Int = demand.getValue(server.id).inUse - if (server.inUse(adapter)) 1 else 0
    }

    /**
     * Chooses among [servers], which must be usable, for [request]. The retry delay of a refused request is the time
     * after which the work that is queued now is expected to be done. Servers of [atLimit] are chosen only if no other
     * one can answer within the latency objective. [candidates] are compared first, where enough servers hold the
     * adapter.
     */
    public fun choose(
        request: PlacementRequest,
        servers: List<Server>,
        spec: EngineSpec,
        atLimit: Set<BackendServerId> = emptySet(),
        candidates: Candidates = Candidates.All,
    ): PlacementDecision {
        fun choose(some: List<Server>) = PacePreference.choose(request.excluded, atLimit, request.onTimeMillis) {
            chooseWithin(request.copy(excluded = it), some, spec, candidates)
        }
        if (candidates is Candidates.Few) {
            val holders = servers.filter { it.id !in request.excluded && holds(it, request) }
            val sound = holders.filterNot { it.degraded }.ifEmpty { holders }
            val first = candidates.first(sound)
            val decision = if (first.size < holders.size) choose(first) else null
            if (decision is PlacementDecision.Send && !candidates.widensFor(decision.server, request)) return decision
        }
        return choose(servers)
    }

    private fun chooseWithin(
        request: PlacementRequest,
        servers: List<Server>,
        spec: EngineSpec,
        candidates: Candidates,
    ): PlacementDecision {
        val withModel = servers.filter { request.adapter.model in it.entry.models && it.id !in request.excluded }
        if (withModel.isEmpty()) {
            return PlacementDecision.Refuse(PlacementDecision.Reason.NO_SERVER, NO_SERVER_RETRY_MILLIS)
        }
        val healthy = withModel.filterNot { it.degraded }.ifEmpty { withModel }
        val backlog = lazy(LazyThreadSafetyMode.NONE) { Backlog(request.adapter, servers) }
        fun decide(some: List<Server>) =
            decide(request, some.mapNotNull { candidate(request, it, spec, backlog, candidates) })
        val decision = decide(healthy)
        val answered = decision is PlacementDecision.Send || decision is PlacementDecision.LoadAdapter
        if (answered || withModel.none { it.fleetTiming?.failing == true }) return decision
        // No request is refused or waits because a server fails at times.
        return decide(withModel)
    }

    private fun decide(request: PlacementRequest, candidates: List<Candidate>): PlacementDecision {
        val best = best(candidates, request) ?: return withoutHolder(request)
        val excessMillis = best.excessMillis(request)
        if (excessMillis > 0) {
            return PlacementDecision.Refuse(PlacementDecision.Reason.OVERLOADED, best.totalMillis.toLong())
        }
        val estimate = best.totalMillis.toLong()
        if (best.resident) return PlacementDecision.Send(best.server, estimate)
        return PlacementDecision.LoadAdapter(best.server, estimate, best.queueMillis.toLong())
    }

    private fun holds(server: Server, request: PlacementRequest): Boolean {
        val adapter = request.adapter
        if (adapter.adapter == null) return adapter.model in server.entry.models
        val version = server.adapters[adapter]
        return version != null && version >= (request.minVersion ?: 0)
    }

    private fun best(candidates: List<Candidate>, request: PlacementRequest): Candidate? {
        val best = candidates.minByOrNull { it.totalMillis + it.penaltyMillis } ?: return null
        if (!best.usesStore) return best
        val onTimeMillis = request.onTimeMillis * ON_TIME_SHARE
        return candidates.filter {
            !it.usesStore && it.totalMillis < onTimeMillis &&
                it.penaltyMillis < LATE_GAP_PENALTY_MILLIS
        }
            .minByOrNull { it.totalMillis + it.penaltyMillis } ?: best
    }

    /**
     * The decision while no order holder is known, as after a start: there will be one soon, unless the nodes cannot
     * reach each other.
     */
    private fun withoutHolder(request: PlacementRequest): PlacementDecision {
        if (request.loadBudgetMillis > loads.storeLoadMillis) return PlacementDecision.Wait(HOLDER_POLL_MILLIS)
        return PlacementDecision.Refuse(PlacementDecision.Reason.NO_PLACE, NO_PLACE_RETRY_MILLIS)
    }

    private fun candidate(
        request: PlacementRequest,
        server: Server,
        spec: EngineSpec,
        backlog: Lazy<Backlog>,
        candidates: Candidates,
    ): Candidate? {
        val utilization = server.totalUtilization()
        val queue =
            server.latencyEstimator.firstEventMillis(utilization.pendingPromptTokens, request.promptTokens) +
                saturationMillis(request, server, utilization, spec)
        val distance = if (server.entry.zone == zone) 0.0 else CROSS_ZONE_PENALTY_MILLIS
        val penalty = distance + gapPenaltyMillis(request, server, utilization) + candidates.noiseMillis()
        if (holds(server, request)) return Candidate(server, queue, loadMillis = 0.0, penalty, resident = true)
        if (!loadable(server)) return null
        val load = loadMillis(request.adapter, server, backlog.value) + slotWaitMillis(server, spec, backlog.value)
        val loadPenalty = loadPenaltyMillis(request.adapter, server, backlog.value)
        val usesStore = !server.recentlyHeld(request.adapter) && request.adapter !in server.loading
        return Candidate(server, queue, load, penalty + loadPenalty, resident = false, usesStore)
    }

    /** Cost to the running streams of an engine when this prompt makes their gaps longer than the objective. */
    private fun gapPenaltyMillis(request: PlacementRequest, server: Server, utilization: ServerUtilization): Double {
        if (request.targetGapMillis == 0L || utilization.running == 0) return 0.0
        val longestGap =
            server.latencyEstimator.longestGapMillis(
                utilization.pendingPromptTokens + request.promptTokens,
                utilization.running + 1,
            )
        val excess = longestGap - request.targetGapMillis * TARGET_GAP_SHARE
        return if (excess > 0) LATE_GAP_PENALTY_MILLIS + excess else 0.0
    }

    /** Time until a full batch or a full KV cache has room again. */
    private fun saturationMillis(
        request: PlacementRequest,
        server: Server,
        utilization: ServerUtilization,
        spec: EngineSpec,
    ): Double {
        val slots = server.entry.requestSlots.coerceAtLeast(1)
        val excessRequests = utilization.running + 1 - slots
        val tokens = utilization.kvCacheTokens + request.promptTokens + request.outputTokens
        val excessTokens = tokens - spec.kvCacheTokens * KV_CACHE_SHARE
        val batchMillis = if (excessRequests > 0) streamMillis(server) * excessRequests / slots else 0.0
        val kvCacheMillis =
            if (excessTokens > 0) streamMillis(server) * excessTokens / spec.kvCacheTokens else 0.0
        return maxOf(batchMillis, kvCacheMillis)
    }

    /** Time until the adapter is resident, including the loads that are requested before it. */
    private fun loadMillis(adapter: ServedAdapter, server: Server, backlog: Backlog): Double {
        if (adapter in server.loading) return loads.storeLoadMillis * REMAINING_LOAD_SHARE + ORDER_OVERHEAD_MILLIS
        if (server.recentlyHeld(adapter)) return loads.cachedLoadMillis + ORDER_OVERHEAD_MILLIS
        val rounds = maxOf(
            1.0,
            (backlog.total + 1) / loads.fullSpeedLoads,
            (backlog.pendingAt(server) + 1.0) / AdapterSlots.MAX_CONCURRENT_ORDERS,
        )
        return loads.storeLoadMillis * rounds + ORDER_OVERHEAD_MILLIS
    }

    /** Time until an adapter slot becomes free, when requests use all of them. */
    private fun slotWaitMillis(server: Server, spec: EngineSpec, backlog: Backlog): Double {
        val slots = spec.usableAdapterSlots(server.entry.models).coerceAtLeast(1)
        val excess = backlog.slotsInUse(server) + 1 - slots
        return if (excess > 0) streamMillis(server) * excess / slots else 0.0
    }

    private fun streamMillis(server: Server) = server.latencyEstimator.meanGapMillis * MEAN_EVENTS_PER_STREAM

    /**
     * Ranks engines for a load from the weight store. By rendezvous hashing all nodes prefer the same engine for an
     * adapter, unless that engine has more pending loads than others.
     */
    private fun loadPenaltyMillis(adapter: ServedAdapter, server: Server, backlog: Backlog): Double {
        if (adapter in server.loading || server.recentlyHeld(adapter)) return 0.0
        return STORE_LOAD_PENALTY_MILLIS + PENDING_LOAD_PENALTY_MILLIS * backlog.pendingAt(server) +
            PREFERENCE_SPREAD_MILLIS * RendezvousHashing.unitHash(adapter.toString(), server.id.value)
    }

    private companion object {
        /** Retry delay of a service without servers: about the time until a crashed server is back. */
        const val NO_SERVER_RETRY_MILLIS = 1_000L

        /** Interval of checks for an order holder: a small part of the time until there is one. */
        const val HOLDER_POLL_MILLIS = 60L

        /** About the time in which nodes that start together claim the engines. */
        const val NO_PLACE_RETRY_MILLIS = 900L

        /** The users price traffic between zones; that is worth a few milliseconds of the objective, no more. */
        const val CROSS_ZONE_PENALTY_MILLIS = 12.0

        /** The order, its confirmation and the message to the node that gives it. */
        const val ORDER_OVERHEAD_MILLIS = 40.0

        /** On average half of a load that is in flight remains. */
        const val REMAINING_LOAD_SHARE = 0.5

        /** The users price loads from the store, and each evicts an adapter that may be requested again. */
        const val STORE_LOAD_PENALTY_MILLIS = 40.0

        /** Loads at one engine wait for each other when the store is slow; less than each of them adds to a load. */
        const val PENDING_LOAD_PENALTY_MILLIS = 20.0

        /** Spread of the preference among engines; less than a load, so that it decides only between equals. */
        const val PREFERENCE_SPREAD_MILLIS = 120.0

        /** Share of the time left that an estimate may take; the rest is for what it does not know. */
        const val ON_TIME_SHARE = 0.6

        /** Share of the longest gap on time that the estimate may reach; the rest is for what it does not know. */
        const val TARGET_GAP_SHARE = 0.85

        /** About a load elsewhere: delaying running streams costs more than loading the adapter first. */
        const val LATE_GAP_PENALTY_MILLIS = 200.0

        /** Mean number of events per stream in the deployment profiles. */
        const val MEAN_EVENTS_PER_STREAM = 50

        /** A KV cache filled beyond this share risks that running streams are preempted. */
        const val KV_CACHE_SHARE = 0.95
    }
}
