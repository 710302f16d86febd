package io.apricotslip.core.owner

import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.backends.engine.EngineClientOptions
import io.apricotslip.backends.engine.HttpEngineClient
import io.apricotslip.rules.engine.AdapterScheduler
import io.apricotslip.rules.engine.SchedulerOptions
import io.apricotslip.rules.store.StoreBudget
import kotlin.random.Random

/** Creates the [EngineOwner] of an engine, with its scheduler and HTTP client, from the settings. */
internal class EngineOwnerFactory(
    private val ctx: OwnerContext,
    private val options: SchedulerOptions,
    private val clients: EngineClientOptions,
    private val random: Random,
    private val budget: StoreBudget,
) {
    fun create(entry: EngineEntry): EngineOwner {
        val scheduler =
            AdapterScheduler(
                server = entry.id,
                slots = entry.slots,
                batch = entry.batch,
                whenFull = entry.whenFull,
                options = options,
                random = random,
            )
        return EngineOwner(ctx, HttpEngineClient(entry, clients), scheduler, budget)
    }
}
