package io.apricotslip.bench.decide

import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.rules.engine.EngineScheduler
import io.apricotslip.rules.placement.Placement
import io.apricotslip.rules.store.StoreShareOptions
import kotlin.random.Random

/**
 * The placement, scheduling and store-share rules for a run of a scenario.
 *
 * @property lending whether VMs lend each other adapter loads of their store shares.
 */
internal class Policy(
    val name: String,
    val placement: (Deployment, Random) -> Placement,
    val scheduler: (Deployment, EngineEntry, Random) -> EngineScheduler,
    val lending: Boolean = true,
    val storeShare: StoreShareOptions = StoreShareOptions(),
)
