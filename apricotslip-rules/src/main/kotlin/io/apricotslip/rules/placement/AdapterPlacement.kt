package io.apricotslip.rules.placement

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.peer.EngineStatus
import kotlin.math.max
import kotlin.random.Random

/**
 * Sends a request to the engine with the shortest estimated wait, among those that have its adapter and its candidates
 * by rendezvous hashing. Counts what it sent until the status of the engine's owner shows it.
 */
public class AdapterPlacement(
    private val options: PlacementOptions = PlacementOptions(),
    @Suppress("UnusedPrivateProperty") private val random: Random = Random(0),
) : Placement {
    private class Sent(val adapter: AdapterVersion, val at: Long)

    private class Learned {
        var status: EngineStatus? = null
        val sent = ArrayDeque<Sent>()
    }

    private val learned = HashMap<BackendServerId, Learned>()

    override fun learn(status: EngineStatus, now: Long) {
        val entry = learned.getOrPut(status.server) { Learned() }
        entry.status = status
        entry.sent.removeAll { now - it.at > STATUS_AGE_NANOS }
    }

    override fun forget(server: BackendServerId) {
        learned.remove(server)
    }

    override fun rank(request: PlacementRequest, engines: List<EngineEntry>, now: Long): List<BackendServerId> {
        val homes = Rendezvous.rank(request.adapter, engines) { it.slots.toDouble() }
        val speed = meanSpeed()
        val near = homes.filterIndexed { i, e -> i < options.candidates || isAt(request.adapter, e.id, now) }
        val ranked = near.sortedBy { wait(request, it, speed, now) }
        return (ranked + (homes - ranked.toSet())).map { it.id }
    }

    override fun sent(adapter: AdapterVersion, server: BackendServerId, now: Long) {
        learned.getOrPut(server) { Learned() }.sent += Sent(adapter, now)
    }

    private fun isAt(adapter: AdapterVersion, server: BackendServerId, now: Long): Boolean {
        val entry = learned[server] ?: return false
        if (entry.status?.adapters.orEmpty().any { it.adapter == adapter }) return true
        return entry.sent.any { it.adapter == adapter && now - it.at <= options.sentMillis * NANOS_PER_MILLI }
    }

    private fun wait(request: PlacementRequest, engine: EngineEntry, meanSpeed: Double, now: Long): Double {
        val entry = learned[engine.id]
        val status = entry?.status
        val sent = entry?.sent.orEmpty().count { now - it.at <= options.sentMillis * NANOS_PER_MILLI }
        val speed = status?.tokensPerSecond?.takeIf { it > 0 } ?: meanSpeed
        val requests = (status?.running ?: 0) + (status?.waiting ?: 0) + sent + 1
        val queued = max(0, requests - engine.batch) * request.maxTokens / speed * MILLIS_PER_SECOND
        val decoding = request.maxTokens / (speed / engine.batch) * MILLIS_PER_SECOND
        return queued + decoding + loadWait(request, engine, status, now)
    }

    private fun loadWait(request: PlacementRequest, engine: EngineEntry, status: EngineStatus?, now: Long): Double {
        if (isAt(request.adapter, engine.id, now)) return 0.0
        return options.loadCostMillis + options.waitingLoadMillis * (status?.waitingLoads ?: 0)
    }

    private fun meanSpeed(): Double {
        val speeds = learned.values.mapNotNull { it.status?.tokensPerSecond }.filter { it > 0 }
        return if (speeds.isEmpty()) options.unknownTokensPerSecond else speeds.average()
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val MILLIS_PER_SECOND = 1_000.0
        const val STATUS_AGE_NANOS = 100 * NANOS_PER_MILLI
    }
}
