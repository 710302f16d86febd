package io.apricotslip.bench.decide

import io.apricotslip.api.id.BackendServerId
import io.apricotslip.api.id.ModelId
import io.apricotslip.api.id.ZoneId
import io.apricotslip.api.manifest.EngineEntry
import io.apricotslip.api.manifest.StoreEntry
import io.apricotslip.api.work.WorkClass
import io.apricotslip.rules.engine.SchedulerGoal

private const val ZONES = 3
private const val FIRST_PORT = 9_000

/** Part of the requests that a class has, and its mean answer. */
internal class ClassMix(val workClass: WorkClass, val part: Double, val meanTokens: Int, val deadlineSeconds: Long)

/**
 * Sizes of one deployment of the brief.
 *
 * @property hopNanos one way between two VMs.
 */
internal enum class Deployment(
    val label: String,
    val goal: SchedulerGoal,
    val vms: Int,
    val store: StoreEntry,
    val hopNanos: Long,
    val kinds: List<EngineKind>,
    val mix: List<ClassMix>,
) {
    LLYN(
        label = "Llyn",
        goal = SchedulerGoal.LOAD_STALLS,
        vms = 7,
        store = StoreEntry(loadsPerSecond = 5.5, fullSpeedInFlight = 2, maxInFlight = 16),
        hopNanos = 1_000_000,
        kinds = List(4) { EngineKind.SLOW } + List(6) { EngineKind.MEDIUM } + List(3) { EngineKind.FAST },
        mix =
        listOf(
            ClassMix(WorkClass.INTERACTIVE, part = 0.65, meanTokens = 60, deadlineSeconds = 30),
            ClassMix(WorkClass.PLAN, part = 0.30, meanTokens = 300, deadlineSeconds = 120),
            ClassMix(WorkClass.DEFERRABLE, part = 0.05, meanTokens = 400, deadlineSeconds = 3_600),
        ),
    ),
    TANDEMRATAS(
        label = "Tandemratas",
        goal = SchedulerGoal.BATCH_EFFICIENCY,
        vms = 6,
        store = StoreEntry(loadsPerSecond = 2.0, fullSpeedInFlight = 1, maxInFlight = 8),
        hopNanos = 500_000,
        kinds = List(2) { EngineKind.SLOW } + List(2) { EngineKind.MEDIUM } + List(2) { EngineKind.FAST },
        mix =
        listOf(
            ClassMix(WorkClass.INTERACTIVE, part = 0.40, meanTokens = 80, deadlineSeconds = 30),
            ClassMix(WorkClass.PLAN, part = 0.40, meanTokens = 400, deadlineSeconds = 120),
            ClassMix(WorkClass.DEFERRABLE, part = 0.20, meanTokens = 600, deadlineSeconds = 7_200),
        ),
    ),
    ;

    val engines: List<EngineEntry> =
        kinds.mapIndexed { i, kind ->
            EngineEntry(
                id = BackendServerId("engine-$i"),
                model = ModelId("base"),
                zone = ZoneId("z${i % ZONES}"),
                address = "127.0.0.1",
                port = FIRST_PORT + i,
                slots = kind.slots,
                batch = kind.batch,
            )
        }
    val slots: Int = kinds.sumOf { it.slots }
    val capacity: Double = kinds.sumOf { it.capacity() }

    /**
     * Requests per second at which the store or the engines are full when the most popular adapters stay resident in
     * all slots but those that adapters loaded for one request hold, by Little's law.
     */
    fun carries(zipf: Zipf): Double {
        val tokensPerRequest = mix.sumOf { it.part * it.meanTokens }
        val stepSeconds = kinds.sumOf { it.slots * it.stepNanos(1) } / slots / NANOS_PER_SECOND
        val holdSeconds = ModelStore.LOAD_NANOS.toDouble() / NANOS_PER_SECOND + tokensPerRequest * stepSeconds
        val held = store.loadsPerSecond * holdSeconds
        val loadsPerRequest = 1 - zipf.mass((slots - held).toInt())
        return minOf(store.loadsPerSecond / loadsPerRequest, capacity / tokensPerRequest)
    }
}
