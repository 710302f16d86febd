package io.apricotslip.serving.placement

import io.apricotslip.api.id.ZoneId
import io.apricotslip.rules.placement.Rendezvous
import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.fleet.UseCounts
import io.apricotslip.serving.state.ServiceSpec.EngineSpec

/**
 * Chooses the engine with the earliest expected first event.
 *
 * The load that it answers: many rare adapters among a few busy ones, on engines of unequal speed. An adapter's
 * requests
 * stay together until the queue of its engine costs more than a load elsewhere; rare adapters return to the engine that
 * held them before, where a load is short.
 *
 * @param loadable whether adapters can be loaded at a server now: its order holder is known and reachable.
 */
public class EngineChoice(private val zone: ZoneId, private val loadable: (Server) -> Boolean) {
    /** An engine, the expected time to a first event there, and what else speaks against it, in the same unit. */
    private class Option(val server: Server, val millis: Double, val penalty: Double, val resident: Boolean)

    /** Chooses among [servers], which are usable, for [ask]. */
    public fun choose(ask: EngineAsk, servers: List<Server>, spec: EngineSpec, now: Long): Choice {
        val holding = servers.filter { ask.adapter.model in it.entry.models && it.id !in ask.excluded }
        if (holding.isEmpty()) return Choice.Refuse(Choice.Reason.NO_SERVER, NO_SERVER_RETRY_MILLIS)
        val sound = holding.filterNot { it.health.grey }.ifEmpty { holding }
        val options = sound.mapNotNull { option(ask, it, spec, now) }
        val best = options.minByOrNull { it.millis + it.penalty }
            ?: return Choice.Refuse(Choice.Reason.NO_PLACE, NO_PLACE_RETRY_MILLIS)
        if (best.millis > ask.budgetMillis) {
            val wait = (best.millis - ask.budgetMillis).toLong() + SPREAD_MILLIS
            return Choice.Refuse(Choice.Reason.OVERLOADED, wait)
        }
        val estimate = best.millis.toLong()
        return if (best.resident) Choice.Send(best.server, estimate) else Choice.Load(best.server, estimate)
    }

    private fun option(ask: EngineAsk, server: Server, spec: EngineSpec, now: Long): Option? {
        val use = server.use(now)
        val queue =
            server.pace.firstEventMillis(use.unreadTokens, ask.promptTokens) + fullMillis(ask, server, spec, now)
        val distance = if (server.entry.zone == zone) 0.0 else OTHER_ZONE_MILLIS
        val penalty = distance + pauseCost(ask, server, use)
        val version = server.adapters[ask.adapter]
        val resident = ask.adapter.adapter == null || (version != null && version >= (ask.version ?: 0))
        if (resident) return Option(server, queue, penalty, resident = true)
        if (!loadable(server)) return null
        val load = loadMillis(ask, server)
        return Option(server, queue + load, penalty + loadCost(ask, server, spec), resident = false)
    }

    /** What it costs the streams of an engine that this prompt makes them pause for longer than they should. */
    private fun pauseCost(ask: EngineAsk, server: Server, use: UseCounts): Double {
        if (ask.gapMillis == 0L || use.running == 0) return 0.0
        val over = server.pace.pauseMillis(use.unreadTokens + ask.promptTokens) - ask.gapMillis * PAUSE_SHARE
        return if (over > 0) PAUSE_MILLIS + over else 0.0
    }

    /** Time until a batch or memory that is full has room again. */
    private fun fullMillis(ask: EngineAsk, server: Server, spec: EngineSpec, now: Long): Double {
        val use = server.use(now)
        val slots = server.entry.slots.coerceAtLeast(1)
        val overSlots = use.running + 1 - slots
        val tokens = use.memoryTokens + ask.promptTokens + ask.outputTokens
        val overTokens = tokens - spec.memoryTokens * MEMORY_SHARE
        val stream = server.pace.gap * EVENTS_OF_STREAM
        val bySlots = if (overSlots > 0) stream * overSlots / slots else 0.0
        val byMemory = if (overTokens > 0) stream * overTokens / spec.memoryTokens else 0.0
        return maxOf(bySlots, byMemory)
    }

    private fun loadMillis(ask: EngineAsk, server: Server): Double = when {
        ask.adapter in server.incoming -> COMING_MILLIS
        server.heldBefore(ask.adapter) -> REPEATED_LOAD_MILLIS
        else -> FIRST_LOAD_MILLIS
    }

    /**
     * Each first load drops an adapter that may be asked for again; equals are told apart the same way at all nodes.
     */
    private fun loadCost(ask: EngineAsk, server: Server, spec: EngineSpec): Double {
        if (ask.adapter in server.incoming || server.heldBefore(ask.adapter)) return 0.0
        val taken = (server.adapters.size + server.incoming.size).toDouble() / spec.adapterPlaces.coerceAtLeast(1)
        return CROWDED_MILLIS * taken +
            PREFERENCE_MILLIS * Rendezvous.unit(ask.adapter.toString(), server.id.value)
    }

    private companion object {
        /** The queue of a service without servers: about the time until a crashed server is back. */
        const val NO_SERVER_RETRY_MILLIS = 1_000L

        /** A few adapter loads. */
        const val NO_PLACE_RETRY_MILLIS = 500L

        /** Added to Retry-After, so that callers come when there is room and not just before. */
        const val SPREAD_MILLIS = 150L

        /** Bytes between zones are priced by the users; worth a few milliseconds of the objective, no more. */
        const val OTHER_ZONE_MILLIS = 12.0

        /** A load takes 250 ms by the deployments' sheets; the rest is the order and its confirmation. */
        const val FIRST_LOAD_MILLIS = 290.0

        /** A tenth of a first load, and the same rest. */
        const val REPEATED_LOAD_MILLIS = 60.0

        /** Half a load. */
        const val COMING_MILLIS = 150.0
        const val CROWDED_MILLIS = 40.0

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
