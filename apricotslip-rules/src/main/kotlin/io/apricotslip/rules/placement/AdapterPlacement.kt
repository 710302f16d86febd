package io.apricotslip.rules.placement

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.api.work.WorkClass
import kotlin.random.Random

/**
 * Sends a request to the engine with the shortest estimated wait among those that hold its adapter and its home. The
 * home is the first engine of the adapter's rendezvous ranking that is not overloaded, so that an adapter keeps to one
 * engine, and gets a copy on the next when the first can't carry its load. Homes of urgent work are spread by slots,
 * those of deferrable work by speed. Counts what it sent until the status of the engine's owner shows it.
 *
 * @param random source of the jitter that keeps entry VMs with the same stale statuses from choosing alike.
 */
public class AdapterPlacement(
    private val options: PlacementOptions = PlacementOptions(),
    private val random: Random = Random(0),
) : Placement {
    private val views = HashMap<BackendServerId, EngineView>()

    override fun updateStatus(status: EngineStatus, now: Long): Unit = view(status.server).learn(status, now)

    override fun removeEngine(server: BackendServerId) {
        views.remove(server)
    }

    override fun rank(request: PlacementRequest, engines: List<EngineEntry>, now: Long): List<BackendServerId> {
        if (engines.isEmpty()) return emptyList()
        val waits = Waits(request, engines, now)
        val homes = RendezvousHashing.rank(request.adapter, engines, waits::weight)
        val home = homes.firstOrNull { !waits.isOverloaded(it) } ?: homes.first()
        val near = homes.filter { it === home || view(it.id).holds(request.adapter, now) }
        val estimates = near.associateWith { waits.estimate(it) * (1 + options.jitterRatio * random.nextDouble()) }
        val ranked = near.sortedBy { estimates.getValue(it) }
        return (ranked + (homes - ranked.toSet()).sortedBy { waits.isOverloaded(it) }).map { it.id }
    }

    override fun recordSent(adapter: AdapterVersion, server: BackendServerId, now: Long): Unit =
        view(server).sent(adapter, now)

    private fun view(server: BackendServerId): EngineView = views.getOrPut(server) { EngineView(options) }

    /** Estimates for one request on each of [engines], in milliseconds. */
    private inner class Waits(
        private val request: PlacementRequest,
        private val engines: List<EngineEntry>,
        private val now: Long,
    ) {
        private val deferrable = request.workClass == WorkClass.DEFERRABLE
        private val meanSpeed = engines.mapNotNull { learnedSpeed(it) }.takeIf { it.isNotEmpty() }?.average()
        private val scale = SpeedScale(engines.map { speed(it) })
        private val meanBacklog = engines.sumOf { backlog(it) } / engines.size

        fun weight(engine: EngineEntry): Double =
            if (deferrable) scale.normalised(speed(engine)) else engine.slots.toDouble()

        fun isOverloaded(engine: EngineEntry): Boolean {
            if (deferrable) return backlog(engine) > meanBacklog * options.backlogFactor + answer(engine)
            val full = requests(engine) >= engine.batch * options.overloadFactor
            return full || view(engine.id).status?.evictable == false
        }

        fun estimate(engine: EngineEntry): Double {
            val before = maxOf(0, requests(engine) + 1 - engine.batch)
            return (before + engine.batch) * answer(engine) + loadWait(view(engine.id))
        }

        private fun requests(engine: EngineEntry): Int = view(engine.id).requests(deferrable, now)

        private fun backlog(engine: EngineEntry): Double = requests(engine) * answer(engine)

        /** Part of the engine's time that one answer takes at full batch. */
        private fun answer(engine: EngineEntry): Double = request.maxTokens / speed(engine) * MILLIS_PER_SECOND

        private fun speed(engine: EngineEntry): Double =
            learnedSpeed(engine) ?: meanSpeed ?: options.unknownTokensPerSecond

        private fun learnedSpeed(engine: EngineEntry): Double? =
            view(engine.id).status?.tokensPerSecond?.takeIf { options.speedAware && it > 0 }

        private fun loadWait(view: EngineView): Double {
            if (view.holds(request.adapter, now)) return 0.0
            return options.loadCostMillis + options.waitingLoadMillis * (view.status?.waitingLoads ?: 0)
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
