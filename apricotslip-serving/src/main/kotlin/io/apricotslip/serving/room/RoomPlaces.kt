package io.apricotslip.serving.room

import io.apricotslip.serving.fleet.Server
import io.apricotslip.serving.state.ServiceSpec.EngineSpec

/** How many requests the servers of a service may have so that what they hold is answered in time. */
public object RoomPlaces {
    /**
     * Places at engines: a part of their slots, as far as the KV cache holds requests of [meanTokens]. Engines preempt
     * what does not fit.
     */
    public fun ofEngines(servers: List<Server>, spec: EngineSpec, meanTokens: Double): Double {
        val fitting = spec.kvCacheTokens * KV_CACHE_SHARE / meanTokens.coerceAtLeast(1.0)
        return servers.sumOf { minOf(it.entry.requestSlots.toDouble(), fitting) * ENGINE_SHARE }
    }

    /**
     * Places at servers that have a slot for each request and a queue: as many as are answered within the part of
     * [targetMillis] that is for them, when a request takes [workMillis]; null if that is not known.
     */
    public fun ofPlainServers(servers: List<Server>, targetMillis: Long, workMillis: Double?): Double {
        val rounds = workMillis?.let { targetMillis * TARGET_SHARE / it.coerceAtLeast(1.0) } ?: INITIAL_ROUNDS
        return servers.sumOf { it.entry.requestSlots * rounds.coerceIn(1.0, MAX_ROUNDS) }
    }

    /** A KV cache filled beyond this share makes the engine preempt requests. */
    private const val KV_CACHE_SHARE = 0.95

    /**
     * Nodes know the work of each other late and fill some engines more than others: the rest of the places takes that
     * up, so that few requests wait at an engine. With all places in use 3% fewer calls of the replay were in time.
     */
    private const val ENGINE_SHARE = 0.8

    /** The rest of the objective is for the way there and back, and for nodes that choose the same server. */
    private const val TARGET_SHARE = 0.7
    private const val INITIAL_ROUNDS = 1.0

    /** What servers let wait is not known; a queue of a few times the slots is usual. */
    private const val MAX_ROUNDS = 5.0
}
