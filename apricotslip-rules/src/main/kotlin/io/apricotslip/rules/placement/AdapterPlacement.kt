package io.apricotslip.rules.placement

import io.apricotslip.api.id.AdapterVersion
import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.peer.EngineStatus
import io.apricotslip.api.work.WorkClass
import kotlin.random.Random

/**
 * Ranks engines by estimated wait among those that have the request's adapter and the preferred engine of the adapter.
 *
 * The preferred engine is the first in the adapter's rendezvous ranking that is not overloaded. Requests for an
 * adapter therefore stay on one engine, and a copy is loaded on the next one when the first can't carry the traffic.
 * The ranking is weighted by slots for urgent requests and by speed for deferrable ones. Sent requests are counted
 * until a status of the engine's owner includes them.
 *
 * @param random source of the jitter that keeps entry VMs with the same stale statuses from choosing the same engine.
 */
public class AdapterPlacement(
    private val options: PlacementOptions = PlacementOptions(),
    private val random: Random = Random(0),
) : Placement {
    private val views = HashMap<BackendServerId, EngineView>()

    override fun updateStatus(status: EngineStatus, now: Long): Unit = view(status.server).updateStatus(status, now)

    override fun removeEngine(server: BackendServerId) {
        views.remove(server)
    }

    override fun rank(request: PlacementRequest, engines: List<EngineEntry>, now: Long): List<BackendServerId> {
        if (engines.isEmpty()) return emptyList()
        val estimator = WaitEstimator(request, engines, now)
        val ranking = RendezvousHashing.rank(request.adapter, engines, estimator::weight)
        val preferred = ranking.firstOrNull { !estimator.isOverloaded(it) } ?: ranking.first()
        val candidates = ranking.filter { it === preferred || view(it.id).hasAdapter(request.adapter, now) }
        val waits =
            candidates.associateWith { estimator.waitMillis(it) * (1 + options.jitterRatio * random.nextDouble()) }
        val byWait = candidates.sortedBy { waits.getValue(it) }
        return (byWait + (ranking - byWait.toSet()).sortedBy { estimator.isOverloaded(it) }).map { it.id }
    }

    override fun recordSent(adapter: AdapterVersion, server: BackendServerId, now: Long): Unit =
        view(server).recordSent(adapter, now)

    private fun view(server: BackendServerId): EngineView = views.getOrPut(server) { EngineView(options) }

    /** Estimates waits of one request on each of [engines]. */
    private inner class WaitEstimator(
        private val request: PlacementRequest,
        private val engines: List<EngineEntry>,
        private val now: Long,
    ) {
        private val deferrable = request.workClass == WorkClass.DEFERRABLE
        private val meanTokensPerSecond =
            engines.mapNotNull { reportedTokensPerSecond(it) }.takeIf { it.isNotEmpty() }?.average()
        private val normalizer = SpeedNormalizer(engines.map { tokensPerSecond(it) })
        private val meanBacklogMillis = engines.sumOf { backlogMillis(it) } / engines.size

        /** Weight of [engine] in the rendezvous ranking. */
        fun weight(engine: EngineEntry): Double =
            if (deferrable) normalizer.normalize(tokensPerSecond(engine)) else engine.slots.toDouble()

        fun isOverloaded(engine: EngineEntry): Boolean {
            if (deferrable) {
                return backlogMillis(engine) > meanBacklogMillis * options.backlogFactor + answerMillis(engine)
            }
            val full = requestCount(engine) >= engine.batch * options.overloadFactor
            return full || view(engine.id).status?.evictable == false
        }

        fun waitMillis(engine: EngineEntry): Double {
            val queuedBefore = maxOf(0, requestCount(engine) + 1 - engine.batch)
            return (queuedBefore + engine.batch) * answerMillis(engine) + loadWaitMillis(view(engine.id))
        }

        private fun requestCount(engine: EngineEntry): Int = view(engine.id).requestCount(deferrable, now)

        private fun backlogMillis(engine: EngineEntry): Double = requestCount(engine) * answerMillis(engine)

        /** Engine time that one answer takes at full batch. */
        private fun answerMillis(engine: EngineEntry): Double =
            request.maxTokens / tokensPerSecond(engine) * MILLIS_PER_SECOND

        private fun tokensPerSecond(engine: EngineEntry): Double =
            reportedTokensPerSecond(engine) ?: meanTokensPerSecond ?: options.defaultTokensPerSecond

        private fun reportedTokensPerSecond(engine: EngineEntry): Double? =
            view(engine.id).status?.tokensPerSecond?.takeIf { options.speedAware && it > 0 }

        private fun loadWaitMillis(view: EngineView): Double {
            if (view.hasAdapter(request.adapter, now)) return 0.0
            return options.loadCostMillis + options.queuedLoadCostMillis * (view.status?.waitingLoads ?: 0)
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
