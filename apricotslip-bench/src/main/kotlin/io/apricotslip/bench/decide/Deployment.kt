package io.apricotslip.bench.decide

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ModelId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.manifest.StoreEntry
import io.apricotslip.api.work.WorkClass
import io.apricotslip.rules.engine.SchedulerGoal

private const val ZONE_COUNT = 3
private const val FIRST_PORT = 9_000

/** Share of the requests that belong to a class, and their mean answer length and deadline. */
internal class ClassMix(val workClass: WorkClass, val share: Double, val meanTokens: Int, val deadlineSeconds: Long)

/**
 * Sizes of one deployment, per the deployment profiles.
 *
 * @property hopNanos one-way latency between two VMs.
 */
internal enum class Deployment(
    val label: String,
    val goal: SchedulerGoal,
    val vms: Int,
    val store: StoreEntry,
    val hopNanos: Long,
    val engineKinds: List<EngineKind>,
    val classMix: List<ClassMix>,
) {
    LLYN(
        label = "Llyn",
        goal = SchedulerGoal.LOAD_STALLS,
        vms = 7,
        store = StoreEntry(loadsPerSecond = 5.5, fullSpeedInFlight = 2, maxInFlight = 16),
        hopNanos = 1_000_000,
        engineKinds = List(4) { EngineKind.SLOW } + List(6) { EngineKind.MEDIUM } + List(3) { EngineKind.FAST },
        classMix =
        listOf(
            ClassMix(WorkClass.INTERACTIVE, share = 0.65, meanTokens = 60, deadlineSeconds = 30),
            ClassMix(WorkClass.PLAN, share = 0.30, meanTokens = 300, deadlineSeconds = 120),
            ClassMix(WorkClass.DEFERRABLE, share = 0.05, meanTokens = 400, deadlineSeconds = 3_600),
        ),
    ),
    TANDEMRATAS(
        label = "Tandemratas",
        goal = SchedulerGoal.BATCH_EFFICIENCY,
        vms = 6,
        store = StoreEntry(loadsPerSecond = 2.0, fullSpeedInFlight = 1, maxInFlight = 8),
        hopNanos = 500_000,
        engineKinds = List(2) { EngineKind.SLOW } + List(2) { EngineKind.MEDIUM } + List(2) { EngineKind.FAST },
        classMix =
        listOf(
            ClassMix(WorkClass.INTERACTIVE, share = 0.40, meanTokens = 80, deadlineSeconds = 30),
            ClassMix(WorkClass.PLAN, share = 0.40, meanTokens = 400, deadlineSeconds = 120),
            ClassMix(WorkClass.DEFERRABLE, share = 0.20, meanTokens = 600, deadlineSeconds = 7_200),
        ),
    ),
    ;

    val engines: List<EngineEntry> =
        engineKinds.mapIndexed { i, kind ->
            EngineEntry(
                id = BackendServerId("engine-$i"),
                model = ModelId("base"),
                zone = ZoneId("z${i % ZONE_COUNT}"),
                address = "127.0.0.1",
                port = FIRST_PORT + i,
                slots = kind.slots,
                batch = kind.batch,
            )
        }
    val slots: Int = engineKinds.sumOf { it.slots }
    val capacityTokensPerSecond: Double = engineKinds.sumOf { it.capacityTokensPerSecond() }

    /**
     * Requests per second that saturate the store or the engines. Assumes that adapters loaded for a single request
     * occupy as many slots as Little's law gives, and that the most popular adapters stay resident in all others.
     */
    fun sustainableRate(zipf: Zipf): Double {
        val tokensPerRequest = classMix.sumOf { it.share * it.meanTokens }
        val stepSeconds = engineKinds.sumOf { it.slots * it.stepNanos(1) } / slots / NANOS_PER_SECOND
        val loadSeconds = SimulatedStore.LOAD_NANOS.toDouble() / NANOS_PER_SECOND
        val slotSecondsPerLoad = loadSeconds + tokensPerRequest * stepSeconds
        val heldSlots = store.loadsPerSecond * slotSecondsPerLoad
        val loadsPerRequest = 1 - zipf.mass((slots - heldSlots).toInt())
        return minOf(store.loadsPerSecond / loadsPerRequest, capacityTokensPerSecond / tokensPerRequest)
    }
}
