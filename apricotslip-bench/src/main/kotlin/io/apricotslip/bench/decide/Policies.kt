package io.apricotslip.bench.decide

import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.bench.baseline.HashPlacement
import io.apricotslip.bench.baseline.LeastLoadedPlacement
import io.apricotslip.bench.baseline.RandomPlacement
import io.apricotslip.rules.engine.AdapterScheduler
import io.apricotslip.rules.engine.EvictionPolicy
import io.apricotslip.rules.engine.LoadPolicy
import io.apricotslip.rules.engine.SchedulerGoal
import io.apricotslip.rules.engine.SchedulerOptions
import io.apricotslip.rules.placement.AdapterPlacement
import io.apricotslip.rules.placement.Placement
import io.apricotslip.rules.placement.PlacementOptions
import io.apricotslip.rules.store.StoreShareOptions
import kotlin.random.Random

/** The policies that are compared. */
internal object Policies {
    val product: Policy = product("apricotslip")

    /** Complete policies without the rules of apricotslip: FCFS adapter loads and LRU eviction. */
    val baselines: List<Policy> =
        listOf(
            baseline("random") { random -> RandomPlacement(random) },
            baseline("least loaded") { random -> LeastLoadedPlacement(random) },
            baseline("consistent hashing") { HashPlacement { it.slots.toDouble() } },
        )

    /** The product with one rule replaced by a simpler one. */
    val ablations: List<Policy> =
        listOf(
            product("with LRU eviction") { it.copy(evictionPolicy = EvictionPolicy.LEAST_RECENTLY_USED) },
            product("with FCFS loads") { it.copy(loadPolicy = LoadPolicy.FIRST_COME_FIRST_SERVED) },
            product("speed-blind", PlacementOptions(speedAware = false)),
            product("without loans", lending = false),
            product("nothing kept for interactive", storeShare = StoreShareOptions(reservedForInteractive = 0.0)),
            product("urgent slots of the other goal") { it.copy(urgentSlotRatio = urgentSlotRatioOfOtherGoal(it)) },
            product("without jitter", PlacementOptions(jitterRatio = 0.0)),
        )

    fun product(
        name: String,
        placement: PlacementOptions = PlacementOptions(),
        storeShare: StoreShareOptions = StoreShareOptions(),
        lending: Boolean = true,
        configure: (SchedulerOptions) -> SchedulerOptions = { it },
    ): Policy =
        Policy(name, { _, random -> AdapterPlacement(placement, random) }, scheduler(configure), lending, storeShare)

    private fun baseline(name: String, placement: (Random) -> Placement): Policy = Policy(
        name = name,
        placement = { _, random -> placement(random) },
        scheduler =
        scheduler {
            it.copy(
                loadPolicy = LoadPolicy.FIRST_COME_FIRST_SERVED,
                evictionPolicy = EvictionPolicy.LEAST_RECENTLY_USED,
            )
        },
    )

    private fun scheduler(
        configure: (SchedulerOptions) -> SchedulerOptions,
    ): (Deployment, EngineEntry, Random) -> AdapterScheduler = { deployment, entry, random ->
        val settings = configure(SchedulerOptions(goal = deployment.goal, queueLimit = QUEUE_LIMIT))
        AdapterScheduler(entry.id, entry.slots, entry.batch, entry.whenFull, settings, random)
    }

    private fun urgentSlotRatioOfOtherGoal(options: SchedulerOptions): Double {
        val otherGoal = SchedulerGoal.entries.first { it != options.goal }
        return SchedulerOptions(goal = otherGoal).urgentSlotRatio
    }

    private const val QUEUE_LIMIT = 100_000
}
